"""The stored form of a claim."""

import attrs
import cbor2

from marjoramtide.checked import MalformedError, structure_as
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.claims._retention import CLOCK_SKEW_S

# A state of an attempt is only replaced by one of a higher rank, so a late "unknown" never hides a
# recorded response, and a late "released" never frees a key whose request may have run.
RANK = {
    ClaimState.HELD: 0,
    ClaimState.RELEASED: 1,
    ClaimState.UNKNOWN: 1,
    ClaimState.COMPLETED: 2,
}


@attrs.frozen(slots=True)
class ClaimRecord:
    """The attempt that claimed an idempotency key, and its outcome.

    ``attempt`` is unique to one call of ``acquire``. ``digest`` identifies the request that the key
    was first used with. ``expires`` is Unix time of the store's clock. ``status``, ``headers`` and
    ``body`` are the response to a completed request; ``body`` is ``None`` if it was too large.
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

    def can_be_taken_over(self, now: float) -> bool:
        """Return whether another attempt may take over the key at the store's time ``now``."""
        return self.state == ClaimState.RELEASED or self.is_expired(now)

    def is_expired(self, now: float) -> bool:
        """Return whether the retention time has ended, with an allowance for clock skew."""
        return now > self.expires + CLOCK_SKEW_S

    def supersedes(self, state: ClaimState) -> bool:
        """Return whether the same attempt may change from ``state`` to this record's state."""
        return RANK[self.state] > RANK[state]


def decode_record(value: bytes) -> ClaimRecord | None:
    """Decode a record; ``None`` if the bytes are not a valid one."""
    try:
        return structure_as(ClaimRecord, cbor2.loads(value))
    except (cbor2.CBORDecodeError, MalformedError, RecursionError):
        return None
