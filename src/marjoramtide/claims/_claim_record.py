"""A claim as it is stored."""

import attrs
import cbor2

from marjoramtide.checked import MalformedError, structure_as
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.claims._retention import CLOCK_SKEW_S

# What one attempt's states may be replaced by: only by one of a higher rank. A late "unknown" never
# hides a recorded answer, and a late "released" never frees a key whose request may have run.
RANK = {
    ClaimState.HELD: 0,
    ClaimState.RELEASED: 1,
    ClaimState.UNKNOWN: 1,
    ClaimState.COMPLETED: 2,
}


@attrs.frozen(slots=True)
class ClaimRecord:
    """Which attempt claimed an idempotency key, and what became of it.

    ``attempt`` is unique to one call of ``acquire``. ``digest`` stands for the request that the key
    was first used with. ``expires`` is in seconds since the Unix epoch, by the store's
    clock. ``status``, ``headers`` and
    ``body`` are the answer of a completed request; ``body`` is ``None`` where it was too large.
    """

    attempt: str
    node: str
    digest: str
    state: ClaimState
    expires: float
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None

    def encode(self) -> bytes:
        return cbor2.dumps({**attrs.asdict(self), "state": self.state.value})

    def has_ended(self, now: float) -> bool:
        """Tell whether another attempt may take the key over, at the store's time ``now``."""
        return self.state == ClaimState.RELEASED or self.is_expired(now)

    def is_expired(self, now: float) -> bool:
        """Tell whether the retention has ended, whoever judges it."""
        return now > self.expires + CLOCK_SKEW_S

    def supersedes(self, state: ClaimState) -> bool:
        """Tell whether the same attempt may go from ``state`` to this record's."""
        return RANK[self.state] > RANK[state]


def decode_record(value: bytes) -> ClaimRecord | None:
    """Return the record, or ``None`` where the bytes are not one."""
    try:
        return structure_as(ClaimRecord, cbor2.loads(value))
    except (cbor2.CBORDecodeError, MalformedError, RecursionError):
        return None
