"""Claims of idempotency keys through the platform's store."""

import random
from collections.abc import Callable, Sequence
from functools import partial

import attrs
import structlog

from marjoramtide.claims._claim_entry import ClaimEntry
from marjoramtide.claims._claim_handle import ClaimHandle
from marjoramtide.claims._claim_keys import claim_key
from marjoramtide.claims._claim_memory import RecentClaims
from marjoramtide.claims._claim_outcome import ClaimOutcome
from marjoramtide.claims._claim_record import ClaimRecord, decode_record
from marjoramtide.claims._claim_result import ClaimResult
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.claims._conflict_reason import ConflictReason
from marjoramtide.claims._retention import DISPATCH_WINDOW_S, retention_s, store_time
from marjoramtide.claims._unsettled import PendingWrites
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings import RouteSettings
from marjoramtide.store import ObjectStore, Resolution, create_resolved, update_resolved

log = structlog.get_logger()

MAX_BODY_BYTES = 4096
MAX_HEADER_BYTES = 2048
RECORD_TIMEOUT_S = 2.0
SETTLE_INTERVAL_S = 1.0
RETRY_AFTER_MS = 1000
TAKE_OVER_ROUNDS = 3


class Claims:
    """Lets a request with an idempotency key run at most once within the retention.

    A request may be dispatched only after its claim is known to be in the store, whose conditional
    create decides between nodes that race. Whoever claimed a key is never replaced before the
    retention ends, whether or not it is still alive, so that no decision rests on a lease.
    """

    def __init__(self, store: ObjectStore, clock: Clock, node_id: str, rng: random.Random) -> None:
        self.store = store
        self.clock = clock
        self.node_id = node_id
        self.rng = rng
        self.pending_writes = PendingWrites(store, clock)
        self.running: dict[str, ClaimRecord] = {}
        self.recent_claims = RecentClaims(clock)
        self.replicate_claim: Callable[[str, ClaimRecord], None] = lambda key, record: None
        self.epoch = store.epoch
        store.on_epoch_change(self.write_again)

    def write_again(self, epoch: int) -> None:
        """Write again what a copy of the store may lack; until that is done use no unknown key."""
        self.epoch = epoch
        self.recent_claims.close()
        claims = self.recent_claims.to_write()
        log.warning("claims.written_again", step="claims.write_again", claims=len(claims))
        for key, record in claims:
            self.pending_writes.write_anew(ClaimEntry(key, record, 0, was_stored=True))

    async def acquire(
        self,
        service: str,
        key: str,
        request_digest: str,
        settings: RouteSettings,
        deadline: float,
        workspace: str = "",
    ) -> ClaimResult:
        """Claim ``key`` for one attempt to run the request that ``request_digest`` stands for.

        ``deadline`` is in seconds of the monotonic clock. Raises ``bad-request`` where the key is
        empty or too long.
        """
        stored_key = claim_key(service, key, workspace)
        started = self.clock.monotonic()
        record = ClaimRecord(
            attempt=f"{self.node_id}/{self.rng.getrandbits(128):032x}",
            node=self.node_id,
            digest=request_digest,
            state=ClaimState.HELD,
            expires=0.0,  # until the store has told its time
        )
        if wait_s := self.recent_claims.wait_s():
            return self.judge_by_memory(stored_key, record, wait_s)
        try:
            await self.learn_time(stored_key, deadline)
            expires = store_time(self.store, self.clock) + retention_s(settings)
            record = attrs.evolve(record, expires=expires)
            resolution = await self.claim(stored_key, record, deadline)
            self.note_epoch()
        except MarjoramtideError as error:
            return self.refuse(stored_key, record, settings, error)
        except BaseException:
            # Cancelled: the create may be on its way and would hold the key for nothing.
            self.give_up(stored_key, record)
            raise
        if resolution.is_own and (wait_s := self.recent_claims.wait_s()):
            # The store has come back while it was asked: the key may have been claimed before.
            self.give_up(stored_key, record)
            return self.judge_by_memory(stored_key, record, wait_s)
        if resolution.is_own:
            until = started + DISPATCH_WINDOW_S
            handle = ClaimHandle(stored_key, record, resolution.stored.version, until)
            self.running[stored_key] = record
            self.recent_claims.note(stored_key, record)
            self.replicate_claim(stored_key, record)
            return ClaimResult(ClaimOutcome.HELD, handle=handle)
        return self.judge(decode_record(resolution.stored.value), record)

    async def learn_time(self, key: str, deadline: float) -> None:
        """Ask the store for anything where it has not told its time yet.

        A claim written by a node's own clock, when that is behind, would end early on all others.
        Raises what ``ObjectStore.get`` does, but for ``not-found``.
        """
        if self.store.time(self.clock.wall()) is not None:
            return
        try:
            await self.store.get(key, timeout=max(0.001, deadline - self.clock.monotonic()))
        except MarjoramtideError as error:
            if error.code != ErrorCode.NOT_FOUND:
                raise

    async def claim(self, key: str, record: ClaimRecord, deadline: float) -> Resolution:
        """Create the claim, or take over one that has ended: released, or past its retention.

        Taking over is a conditional update of the version that was judged: where two attempts, or
        an attempt and a cleaner, meet at the same ended claim, one of them wins.
        """

        def is_own(value: bytes) -> bool:
            stored = decode_record(value)
            return stored is not None and stored.attempt == record.attempt

        value, store = record.encode(), self.store
        create = partial(create_resolved, clock=self.clock, rng=self.rng, deadline=deadline)
        update = partial(update_resolved, clock=self.clock, rng=self.rng, deadline=deadline)
        resolution = await create(store, key, value, is_own)
        for _ in range(TAKE_OVER_ROUNDS):
            if resolution.is_own or not self.has_ended(resolution.stored.value):
                break
            resolution = await update(store, key, value, resolution.stored.version, is_own)
        return resolution

    def has_ended(self, value: bytes) -> bool:
        record = decode_record(value)
        return record is not None and record.has_ended(store_time(self.store, self.clock))

    def judge(self, found: ClaimRecord | None, wanted: ClaimRecord) -> ClaimResult:
        """Tell what another attempt's claim means for this one."""
        if found is None:
            return self.conflict(ConflictReason.UNREADABLE, "no readable claim")
        detail = f"claimed by {found.attempt}"
        if found.digest != wanted.digest and found.state != ClaimState.RELEASED:
            return self.conflict(ConflictReason.OTHER_REQUEST, detail, retry_after_ms=0)
        if found.state in (ClaimState.HELD, ClaimState.RELEASED):
            return self.conflict(ConflictReason.IN_PROGRESS, detail)
        return ClaimResult(ClaimOutcome.RECORDED, record=found, detail=detail)

    def judge_by_memory(self, key: str, wanted: ClaimRecord, wait_s: float) -> ClaimResult:
        """Tell what becomes of a request while the store may lack what was claimed of late."""
        known = self.recent_claims.find(key)
        if known is None or known.state is ClaimState.RELEASED:
            return self.unavailable(wait_s * 1000, "the store has come back from a copy")
        return self.judge(known, wanted)

    def conflict(
        self, reason: ConflictReason, detail: str, retry_after_ms: int = RETRY_AFTER_MS
    ) -> ClaimResult:
        return ClaimResult(
            ClaimOutcome.CONFLICT, reason=reason, retry_after_ms=retry_after_ms, detail=detail
        )

    def refuse(
        self, key: str, record: ClaimRecord, settings: RouteSettings, error: MarjoramtideError
    ) -> ClaimResult:
        """Tell what a store that didn't decide means for the request."""
        known = self.running.get(key) or self.pending_writes.outcomes.get(key)
        if known is not None:
            # "Not run" would be the truth of this attempt only, and the caller would take it for
            # that of its booking.
            return self.judge(known, record)
        if error.code == ErrorCode.VERSION_CONFLICT:
            return self.conflict(ConflictReason.UNREADABLE, str(error))
        is_down = error.code in (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_AMBIGUOUS)
        if is_down and settings.claims_when_store_down == "run":
            return ClaimResult(ClaimOutcome.HELD_UNCLAIMED, detail=str(error))
        if error.code == ErrorCode.STORE_AMBIGUOUS:
            self.give_up(key, record)
        return self.unavailable(error.retry_after_ms or RETRY_AFTER_MS, str(error))

    def unavailable(self, after_ms: float, detail: str) -> ClaimResult:
        """Return the result for a key that can't be claimed now, spread over those that come."""
        return ClaimResult(
            ClaimOutcome.UNAVAILABLE,
            retry_after_ms=int(after_ms * self.rng.uniform(1, 1.5)),
            detail=detail,
        )

    def note_epoch(self) -> None:
        """Take the first epoch that is heard of for a new one: it may have just begun."""
        if self.store.epoch != self.epoch:
            self.write_again(self.store.epoch)

    def give_up(self, key: str, record: ClaimRecord) -> None:
        """Free the key of an attempt that will not run, once the store can be reached.

        The caller is told "not run, come back"; a claim that took effect unseen would answer every
        later try with a conflict until the retention ends.
        """
        self.pending_writes.add(ClaimEntry(key, self.released(record), 0))

    def released(self, record: ClaimRecord) -> ClaimRecord:
        return attrs.evolve(record, state=ClaimState.RELEASED)

    async def record(
        self,
        handle: ClaimHandle,
        outcome: ClaimState,
        status: int = 0,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes | None = None,
    ) -> bool:
        """Store how the request ended: ``COMPLETED`` with its answer, or ``UNKNOWN``.

        ``COMPLETED`` may follow ``UNKNOWN`` where the answer came after all. Tells whether the
        store has it; if not, ``run`` goes on trying. An answer need not wait for this: while the
        store does not know, other attempts are refused.
        """
        if outcome not in (ClaimState.COMPLETED, ClaimState.UNKNOWN):
            raise ValueError(f"outcome: {outcome} is neither completed nor unknown")
        head = tuple(headers)
        size = sum(len(name) + len(text) for name, text in head)
        record = attrs.evolve(
            handle.record,
            state=outcome,
            status=status,
            headers=head if size <= MAX_HEADER_BYTES else (),
            body=body if body is not None and len(body) <= MAX_BODY_BYTES else None,
        )
        return await self.store_last(handle, record)

    async def release(self, handle: ClaimHandle, *, timeout: float = RECORD_TIMEOUT_S) -> bool:
        """Let the key be used again; only where the request certainly was never sent.

        Tries for ``timeout`` seconds; where that does not do, ``run`` goes on.

        Marks the claim rather than deleting it: a copy of the create that is still on its way would
        take effect on a free key and hold it for nobody.
        """
        handle.is_released = True
        return await self.store_last(handle, self.released(handle.record), timeout)

    async def store_last(
        self, handle: ClaimHandle, record: ClaimRecord, timeout: float = RECORD_TIMEOUT_S
    ) -> bool:
        self.running.pop(handle.key, None)
        self.recent_claims.note(handle.key, record)
        self.pending_writes.add(ClaimEntry(handle.key, record, handle.version))
        deadline = self.clock.monotonic() + timeout
        return await self.pending_writes.flush_attempt(record.attempt, deadline)

    async def run(self) -> None:
        """Store what could not be stored at once, until cancelled."""
        while True:
            await self.clock.sleep(SETTLE_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            await self.flush(RECORD_TIMEOUT_S)

    async def flush(self, timeout: float) -> bool:
        """Try once to store all that is left; tells whether nothing is. For a planned stop."""
        return await self.pending_writes.flush_all(self.clock.monotonic() + timeout)


def make_claims(
    store: ObjectStore, clock: Clock, node_id: str, rng: random.Random | None = None
) -> Claims:
    """Return the claims of one node.

    ``node_id`` must name this incarnation of the process; ``rng`` must not repeat between nodes of
    the same id, so it is the system's own source unless a test hands in a seeded one.
    """
    return Claims(store, clock, node_id, rng or random.SystemRandom())
