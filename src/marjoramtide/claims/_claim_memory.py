"""Claims of late, in memory, for a store that comes back from a copy without them."""

from collections import OrderedDict

import attrs

from marjoramtide.claims._claim_record import ClaimRecord
from marjoramtide.clock import Clock

# How old a copy may be that the store comes back from, in seconds. It has what was claimed before.
COPY_AGE_S = 30.0
# For how long after that no unknown key is used, in seconds: the nodes notice within two, and write
# again what thirty seconds have brought, at 133 claims a second and 400 writes a second within ten.
WRITTEN_AGAIN_S = 15.0
MAX_CLAIMS_KEPT = 20_000


@attrs.frozen(slots=True)
class RememberedClaim:
    """A claim, when this node heard of it last, and whether it is one of its own."""

    record: ClaimRecord
    heard_at: float
    is_own: bool


class RecentClaims:
    """The claims of the last ``COPY_AGE_S`` that this node made or was told of by another one.

    Failure: the store comes back from a copy that lacks the claim of a booking that has run. Its
    caller asks again with the same key, finds it free, and the booking runs twice. Each claim is
    therefore known to its node and to others, and written again. Until all nodes have done that, a
    key that isn't known is refused as not run.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.claims: OrderedDict[str, RememberedClaim] = OrderedDict()
        self.closed_until = float("-inf")

    def note(self, key: str, record: ClaimRecord) -> None:
        """Remember the newest state of a claim of this node."""
        self._keep(key, record, is_own=True)

    def add_remote(self, key: str, record: ClaimRecord) -> None:
        """Remember a claim that another node holds, unless this node's own says more."""
        held = self.claims.get(key)
        if held is None or not held.is_own:
            self._keep(key, record, is_own=False)

    def close(self, seconds: float = WRITTEN_AGAIN_S) -> None:
        """Use no unknown key for some seconds."""
        self.closed_until = self.clock.monotonic() + seconds

    def wait_s(self) -> float:
        """Return for how many seconds no unknown key is used."""
        return max(0.0, self.closed_until - self.clock.monotonic())

    def find(self, key: str) -> ClaimRecord | None:
        held = self.claims.get(key)
        return None if held is None else held.record

    def to_write(self) -> list[tuple[str, ClaimRecord]]:
        """Return what is to be in the store again, by the keys of the objects.

        Another node's claim is written as it was told, as held: nobody takes it over, and its own
        node, where that lives, writes how its request has ended.
        """
        self._forget_old()
        return [(key, held.record) for key, held in self.claims.items()]

    def _keep(self, key: str, record: ClaimRecord, *, is_own: bool) -> None:
        self.claims.pop(key, None)
        self.claims[key] = RememberedClaim(record, self.clock.monotonic(), is_own)
        if len(self.claims) > MAX_CLAIMS_KEPT:
            self.claims.popitem(last=False)
        self._forget_old()

    def _forget_old(self) -> None:
        oldest = self.clock.monotonic() - COPY_AGE_S
        while self.claims and next(iter(self.claims.values())).heard_at < oldest:
            self.claims.popitem(last=False)
