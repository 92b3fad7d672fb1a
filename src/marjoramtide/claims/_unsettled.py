"""Claims whose last state has not reached the store."""

import asyncio
import itertools

import structlog

from marjoramtide.claims._claim_entry import ClaimEntry
from marjoramtide.claims._claim_record import ClaimRecord, decode_record
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.claims._retention import store_time
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.store import ObjectStore

log = structlog.get_logger()

MAX_ENTRIES = 5000
MAX_ROUNDS = 6


class PendingWrites:
    """Brings claims to their last state, each under the condition that its attempt still owns it.

    An entry that is pushed out, or lost with the node, leaves its claim ``held`` until the
    retention ends: the key is then refused, never run again.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.entries: dict[str, ClaimEntry] = {}
        self.outcomes: dict[str, ClaimRecord] = {}
        self.locks: dict[str, asyncio.Lock] = {}
        self.dropped = 0

    def add(self, entry: ClaimEntry) -> None:
        """Take an entry in, unless the attempt's last state is already further on."""
        attempt = entry.record.attempt
        known = self.entries.get(attempt)
        if known is not None and not entry.record.supersedes(known.record.state):
            return
        self.entries[attempt] = entry
        if entry.record.state != ClaimState.RELEASED:
            self.outcomes[entry.key] = entry.record
        if len(self.entries) > MAX_ENTRIES:
            self.remove(next(iter(self.entries)))
            self.dropped += 1
            log.warning("claims.unsettled.dropped", dropped=self.dropped, limit=MAX_ENTRIES)

    def write_anew(self, entry: ClaimEntry) -> None:
        """Take an entry in that the store had before, unless a newer one waits already."""
        held = self.entries.setdefault(entry.record.attempt, entry)
        held.version, held.was_stored = 0, True
        self.outcomes.setdefault(entry.key, entry.record)

    def remove(self, attempt: str) -> None:
        entry = self.entries.pop(attempt)
        known = self.outcomes.get(entry.key)
        if known is not None and known.attempt == attempt:
            del self.outcomes[entry.key]

    async def flush_attempt(self, attempt: str, deadline: float) -> bool:
        """Try to store one attempt's last state; tells whether it needs no further try."""
        lock = self.locks.setdefault(attempt, asyncio.Lock())
        try:
            async with lock:
                return await self.flush_locked(attempt, deadline)
        finally:
            if attempt not in self.entries:
                self.locks.pop(attempt, None)

    async def flush_locked(self, attempt: str, deadline: float) -> bool:
        entry = self.entries.get(attempt)
        if entry is None:
            return True
        try:
            settled = await self.bring(entry, deadline)
        except MarjoramtideError:
            return False
        if settled and self.entries.get(attempt) is entry:
            self.remove(attempt)
        return settled

    async def flush_all(self, deadline: float) -> bool:
        """Try every entry once, until one fails; tells whether none is left."""
        for attempt in list(self.entries):
            if self.clock.monotonic() >= deadline:
                return False
            if not await self.flush_attempt(attempt, deadline):
                self.move_to_end(attempt)
                return False
        return not self.entries

    def move_to_end(self, attempt: str) -> None:
        """Let the others go first next time, so that none waits behind one that always fails."""
        if attempt in self.entries:
            self.entries[attempt] = self.entries.pop(attempt)

    async def bring(self, entry: ClaimEntry, deadline: float) -> bool:
        """Write the entry's record, until the store shows it or another attempt's.

        An attempt that was given up while its create was on its way is settled in the same way: by
        creating the released record in its place. Either the create that is still under way finds
        the key taken and never takes effect, or it was first and is found and updated. A plain read
        that finds nothing proves neither.
        """
        for _ in itertools.repeat(None, MAX_ROUNDS):
            left = max(0.001, deadline - self.clock.monotonic())
            try:
                await self.write(entry, left)
                return True
            except MarjoramtideError as error:
                if error.code not in (ErrorCode.VERSION_CONFLICT, ErrorCode.STORE_AMBIGUOUS):
                    raise
            if await self.is_settled(entry, deadline):
                return True
            if self.clock.monotonic() >= deadline:
                return False
        return False

    async def write(self, entry: ClaimEntry, timeout: float) -> None:
        value = entry.record.encode()
        if entry.version:
            await self.store.update(entry.key, value, entry.version, timeout=timeout)
        else:
            await self.store.create(entry.key, value, timeout=timeout)

    async def is_settled(self, entry: ClaimEntry, deadline: float) -> bool:
        """Read the claim; where a write is still needed, note the version it goes on from."""
        left = max(0.001, deadline - self.clock.monotonic())
        try:
            stored = await self.store.get(entry.key, timeout=left)
        except MarjoramtideError as error:
            if error.code != ErrorCode.NOT_FOUND:
                raise
            entry.version = 0
            return False
        entry.version = stored.version
        record = decode_record(stored.value)
        if record is None:
            return True
        if record.attempt == entry.record.attempt:
            return not entry.record.supersedes(record.state)
        if entry.was_stored and record.state in (ClaimState.HELD, ClaimState.RELEASED):
            # Of an attempt that took the key for free, and does not run: it has met the new epoch
            # by this very claim. The one that was stored before it stays.
            return False
        # An attempt that was given up may have been taking over this ended claim; its update is
        # still good for the version just read, so that version must not stay.
        given_up = entry.record.state == ClaimState.RELEASED
        return not (given_up and record.has_ended(store_time(self.store, self.clock)))
