"""Claims of idempotency keys in the object store."""

import random
from collections.abc import Callable, Sequence
from functools import partial

import attrs
import structlog

from marjoramtide.claims._claim_handle import ClaimHandle
from marjoramtide.claims._claim_keys import claim_key
from marjoramtide.claims._claim_outcome import ClaimOutcome
from marjoramtide.claims._claim_record import ClaimRecord, decode_record
from marjoramtide.claims._claim_result import ClaimResult
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.claims._conflict_reason import ConflictReason
from marjoramtide.claims._pending_write import PendingWrite
from marjoramtide.claims._pending_writes import PendingWrites
from marjoramtide.claims._recent_claims import RecentClaims
from marjoramtide.claims._retention import DISPATCH_WINDOW_S, retention_s, store_time
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings import RouteSettings
from marjoramtide.store import ObjectStore, Resolution, create_resolved, update_resolved

log = structlog.get_logger()

MAX_BODY_BYTES = 4096
MAX_HEADER_BYTES = 2048
RECORD_TIMEOUT_S = 2.0
FLUSH_INTERVAL_S = 1.0
RETRY_AFTER_MS = 1000
MAX_TAKE_OVERS = 3


class Claims:
    """Ensures that a request with an idempotency key runs at most once within the retention time.

    A request may be dispatched only after its claim is known to be in the store, whose conditional
    create decides between concurrent nodes. A held claim is never taken over before the retention
    time ends, whether or not its node is alive, so that no decision depends on a lease.
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
        store.on_epoch_change(self.rewrite_recent_claims)

    def rewrite_recent_claims(self, epoch: int) -> None:
        """Rewrite the claims that a restored copy may lack, and refuse unknown keys meanwhile."""
        self.epoch = epoch
        self.recent_claims.block_unknown_keys()
        claims = self.recent_claims.claims_to_rewrite()
        log.warning("claims.written_again", step="claims.write_again", claims=len(claims))
        for key, record in claims:
            self.pending_writes.add_rewrite(PendingWrite(key, record, 0, was_stored=True))

    async def acquire(
        self,
        service: str,
        key: str,
        request_digest: str,
        settings: RouteSettings,
        deadline: float,
        workspace: str = "",
    ) -> ClaimResult:
        """Claim ``key`` for one attempt to run the request identified by ``request_digest``.

        ``deadline`` is in seconds of the monotonic clock. Raises ``bad-request`` if the key is
        empty or too long.
        """
        stored_key = claim_key(service, key, workspace)
        started_at = self.clock.monotonic()
        record = ClaimRecord(
            attempt=f"{self.node_id}/{self.rng.getrandbits(128):032x}",
            node=self.node_id,
            digest=request_digest,
            state=ClaimState.HELD,
            expires=0.0,  # set below, once the store's time is known
        )
        if blocked_for_s := self.recent_claims.blocked_for_s():
            return self.result_while_blocked(stored_key, record, blocked_for_s)
        try:
            await self.ensure_store_time(stored_key, deadline)
            expires = store_time(self.store, self.clock) + retention_s(settings)
            record = attrs.evolve(record, expires=expires)
            resolution = await self.claim(stored_key, record, deadline)
            self.rewrite_if_epoch_changed()
        except MarjoramtideError as error:
            return self.result_for_error(stored_key, record, settings, error)
        except BaseException:
            # Cancelled: the create may be in transit and would hold the key although nothing runs.
            self.schedule_release(stored_key, record)
            raise
        if resolution.is_own and (blocked_for_s := self.recent_claims.blocked_for_s()):
            # The store was restored during the call, so the key may have been claimed before.
            self.schedule_release(stored_key, record)
            return self.result_while_blocked(stored_key, record, blocked_for_s)
        if resolution.is_own:
            dispatch_until = started_at + DISPATCH_WINDOW_S
            handle = ClaimHandle(stored_key, record, resolution.stored.version, dispatch_until)
            self.running[stored_key] = record
            self.recent_claims.add_own(stored_key, record)
            self.replicate_claim(stored_key, record)
            return ClaimResult(ClaimOutcome.HELD, handle=handle)
        return self.result_for_claim(decode_record(resolution.stored.value), record)

    async def ensure_store_time(self, key: str, deadline: float) -> None:
        """Make a call to the store if its time is not known yet.

        A claim whose expiry is from a node's own slow clock would expire early for all others.
        Raises the errors of ``ObjectStore.get`` except ``not-found``.
        """
        if self.store.time(self.clock.wall()) is not None:
            return
        try:
            await self.store.get(key, timeout=max(0.001, deadline - self.clock.monotonic()))
        except MarjoramtideError as error:
            if error.code != ErrorCode.NOT_FOUND:
                raise

    async def claim(self, key: str, record: ClaimRecord, deadline: float) -> Resolution:
        """Create the claim, or take over one that was released or has expired.

        Taking over is a conditional update of the version that was read: if two attempts, or an
        attempt and a cleaner, change the same claim, one of them wins.
        """

        def is_own(value: bytes) -> bool:
            stored = decode_record(value)
            return stored is not None and stored.attempt == record.attempt

        value, store = record.encode(), self.store
        create = partial(create_resolved, clock=self.clock, rng=self.rng, deadline=deadline)
        update = partial(update_resolved, clock=self.clock, rng=self.rng, deadline=deadline)
        resolution = await create(store, key, value, is_own)
        for _ in range(MAX_TAKE_OVERS):
            if resolution.is_own or not self.can_be_taken_over(resolution.stored.value):
                break
            resolution = await update(store, key, value, resolution.stored.version, is_own)
        return resolution

    def can_be_taken_over(self, value: bytes) -> bool:
        record = decode_record(value)
        return record is not None and record.can_be_taken_over(store_time(self.store, self.clock))

    def result_for_claim(
        self, existing: ClaimRecord | None, own_record: ClaimRecord
    ) -> ClaimResult:
        """Return the result for this attempt when another attempt's claim exists."""
        if existing is None:
            return self.make_conflict(
                ConflictReason.UNREADABLE, "the object under the key is not a valid claim"
            )
        detail = f"claimed by {existing.attempt}"
        if existing.digest != own_record.digest and existing.state != ClaimState.RELEASED:
            return self.make_conflict(ConflictReason.OTHER_REQUEST, detail, retry_after_ms=0)
        if existing.state in (ClaimState.HELD, ClaimState.RELEASED):
            return self.make_conflict(ConflictReason.IN_PROGRESS, detail)
        return ClaimResult(ClaimOutcome.RECORDED, record=existing, detail=detail)

    def result_while_blocked(
        self, key: str, own_record: ClaimRecord, blocked_for_s: float
    ) -> ClaimResult:
        """Return the result while the store may lack recent claims."""
        known = self.recent_claims.find(key)
        if known is None or known.state is ClaimState.RELEASED:
            return self.make_unavailable(blocked_for_s * 1000, "the store was restored from a copy")
        return self.result_for_claim(known, own_record)

    def make_conflict(
        self, reason: ConflictReason, detail: str, retry_after_ms: int = RETRY_AFTER_MS
    ) -> ClaimResult:
        return ClaimResult(
            ClaimOutcome.CONFLICT, reason=reason, retry_after_ms=retry_after_ms, detail=detail
        )

    def result_for_error(
        self, key: str, record: ClaimRecord, settings: RouteSettings, error: MarjoramtideError
    ) -> ClaimResult:
        """Return the result when the store call failed without a decision."""
        known = self.running.get(key) or self.pending_writes.outcomes.get(key)
        if known is not None:
            # "Not run" would be true for this attempt only, but the caller would apply it to the
            # request, which another attempt may have run.
            return self.result_for_claim(known, record)
        if error.code == ErrorCode.VERSION_CONFLICT:
            return self.make_conflict(ConflictReason.UNREADABLE, str(error))
        is_store_down = error.code in (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_AMBIGUOUS)
        if is_store_down and settings.claims_when_store_down == "run":
            return ClaimResult(ClaimOutcome.HELD_UNCLAIMED, detail=str(error))
        if error.code == ErrorCode.STORE_AMBIGUOUS:
            self.schedule_release(key, record)
        return self.make_unavailable(error.retry_after_ms or RETRY_AFTER_MS, str(error))

    def make_unavailable(self, min_retry_after_ms: float, detail: str) -> ClaimResult:
        """Return the result for a key that can't be claimed now, with a jittered retry time."""
        return ClaimResult(
            ClaimOutcome.UNAVAILABLE,
            retry_after_ms=int(min_retry_after_ms * self.rng.uniform(1, 1.5)),
            detail=detail,
        )

    def rewrite_if_epoch_changed(self) -> None:
        """Treat the first known epoch as a new one too, since it may have just begun."""
        if self.store.epoch != self.epoch:
            self.rewrite_recent_claims(self.store.epoch)

    def schedule_release(self, key: str, record: ClaimRecord) -> None:
        """Free the key of an attempt that will not run, once the store is reachable.

        The response to the caller says that the request was not run and may be retried; a claim
        that took effect unnoticed would make every retry a conflict until the retention time ends.
        """
        self.pending_writes.add(PendingWrite(key, self.as_released(record), 0))

    def as_released(self, record: ClaimRecord) -> ClaimRecord:
        return attrs.evolve(record, state=ClaimState.RELEASED)

    async def record(
        self,
        handle: ClaimHandle,
        outcome: ClaimState,
        status: int = 0,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes | None = None,
    ) -> bool:
        """Store the outcome of the request: ``COMPLETED`` with its response, or ``UNKNOWN``.

        ``COMPLETED`` may follow ``UNKNOWN`` if a late response arrives. Returns whether the outcome
        is in the store; if not, ``run`` retries. The caller's response need not wait for this:
        until the outcome is stored, other attempts are refused.
        """
        if outcome not in (ClaimState.COMPLETED, ClaimState.UNKNOWN):
            raise ValueError(f"outcome is {outcome}; allowed: completed or unknown")
        header_pairs = tuple(headers)
        header_bytes = sum(len(name) + len(text) for name, text in header_pairs)
        record = attrs.evolve(
            handle.record,
            state=outcome,
            status=status,
            headers=header_pairs if header_bytes <= MAX_HEADER_BYTES else (),
            body=body if body is not None and len(body) <= MAX_BODY_BYTES else None,
        )
        return await self.write_final_state(handle, record)

    async def release(self, handle: ClaimHandle, *, timeout: float = RECORD_TIMEOUT_S) -> bool:
        """Free the key; only allowed if the request certainly was never sent.

        Tries for ``timeout`` seconds, after which ``run`` retries.

        The claim is marked as released rather than deleted: a copy of the create that is still in
        transit would take effect on a free key and hold it although nothing runs.
        """
        handle.is_released = True
        return await self.write_final_state(handle, self.as_released(handle.record), timeout)

    async def write_final_state(
        self, handle: ClaimHandle, record: ClaimRecord, timeout: float = RECORD_TIMEOUT_S
    ) -> bool:
        self.running.pop(handle.key, None)
        self.recent_claims.add_own(handle.key, record)
        self.pending_writes.add(PendingWrite(handle.key, record, handle.version))
        deadline = self.clock.monotonic() + timeout
        return await self.pending_writes.flush_attempt(record.attempt, deadline)

    async def run(self) -> None:
        """Retry pending writes until cancelled."""
        while True:
            await self.clock.sleep(FLUSH_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            await self.flush(RECORD_TIMEOUT_S)

    async def flush(self, timeout: float) -> bool:
        """Try all pending writes once; returns whether none is left. For a planned stop."""
        return await self.pending_writes.flush_all(self.clock.monotonic() + timeout)


def make_claims(
    store: ObjectStore, clock: Clock, node_id: str, rng: random.Random | None = None
) -> Claims:
    """Return the claims of one node.

    ``node_id`` must identify this incarnation of the process. ``rng`` must not repeat between nodes
    of the same id, so the default is the system's random source; tests pass a seeded one.
    """
    return Claims(store, clock, node_id, rng or random.SystemRandom())
