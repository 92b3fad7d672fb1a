"""Claims whose latest state is not yet in the store."""

import asyncio
import itertools

import structlog

from marjoramtide.claims._claim_record import ClaimRecord, decode_record
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.claims._pending_write import PendingWrite
from marjoramtide.claims._retention import store_time
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.store import ObjectStore

log = structlog.get_logger()

MAX_ENTRIES = 5000
MAX_WRITE_ROUNDS = 6


class PendingWrites:
    """Writes the latest states of claims, each only while its attempt still owns the claim.

    The claim of an entry that is evicted, or lost when the node crashes, stays ``held`` until the
    retention time ends: requests with its key are then refused and never run again.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.entries: dict[str, PendingWrite] = {}
        self.outcomes: dict[str, ClaimRecord] = {}
        self.locks: dict[str, asyncio.Lock] = {}
        self.dropped = 0

    def add(self, entry: PendingWrite) -> None:
        """Add an entry, unless the attempt already has a state of the same or a higher rank."""
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

    def add_rewrite(self, entry: PendingWrite) -> None:
        """Add an entry for a claim that a restore may have lost, unless a newer one is pending."""
        pending = self.entries.setdefault(entry.record.attempt, entry)
        pending.version, pending.was_stored = 0, True
        self.outcomes.setdefault(entry.key, entry.record)

    def remove(self, attempt: str) -> None:
        entry = self.entries.pop(attempt)
        known = self.outcomes.get(entry.key)
        if known is not None and known.attempt == attempt:
            del self.outcomes[entry.key]

    async def flush_attempt(self, attempt: str, deadline: float) -> bool:
        """Try to write one attempt's latest state; returns whether no retry is needed."""
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
            is_done = await self.write_until_stored(entry, deadline)
        except MarjoramtideError:
            return False
        if is_done and self.entries.get(attempt) is entry:
            self.remove(attempt)
        return is_done

    async def flush_all(self, deadline: float) -> bool:
        """Try every entry once, until one fails; returns whether none is left."""
        for attempt in list(self.entries):
            if self.clock.monotonic() >= deadline:
                return False
            if not await self.flush_attempt(attempt, deadline):
                self.move_to_end(attempt)
                return False
        return not self.entries

    def move_to_end(self, attempt: str) -> None:
        """Try the entry last next time, so that a failing one does not block the others."""
        if attempt in self.entries:
            self.entries[attempt] = self.entries.pop(attempt)

    async def write_until_stored(self, entry: PendingWrite, deadline: float) -> bool:
        """Write the entry's record until the store holds it or another attempt's.

        An attempt that was abandoned while its create was in transit is handled in the same way, by
        creating the released record under its key. Either that create finds the key taken and never
        takes effect, or it came first and its object is found and updated. A read that finds no
        object proves neither.
        """
        for _ in itertools.repeat(None, MAX_WRITE_ROUNDS):
            remaining_s = max(0.001, deadline - self.clock.monotonic())
            try:
                await self.write(entry, remaining_s)
                return True
            except MarjoramtideError as error:
                if error.code not in (ErrorCode.VERSION_CONFLICT, ErrorCode.STORE_AMBIGUOUS):
                    raise
            if await self.is_resolved(entry, deadline):
                return True
            if self.clock.monotonic() >= deadline:
                return False
        return False

    async def write(self, entry: PendingWrite, timeout: float) -> None:
        value = entry.record.encode()
        if entry.version:
            await self.store.update(entry.key, value, entry.version, timeout=timeout)
        else:
            await self.store.create(entry.key, value, timeout=timeout)

    async def is_resolved(self, entry: PendingWrite, deadline: float) -> bool:
        """Read the claim; if another write is needed, set the entry's version for it."""
        remaining_s = max(0.001, deadline - self.clock.monotonic())
        try:
            stored = await self.store.get(entry.key, timeout=remaining_s)
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
            # Another attempt found the key free after the restore. It does not run, since it
            # learned of the new epoch by this very claim; the earlier claim replaces its claim.
            return False
        # An abandoned attempt may have been taking over this ended claim. Its update may still be
        # in transit and match the version just read, so that version must be replaced.
        is_release = entry.record.state == ClaimState.RELEASED
        return not (is_release and record.can_be_taken_over(store_time(self.store, self.clock)))
