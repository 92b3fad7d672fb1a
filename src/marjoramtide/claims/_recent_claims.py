"""Recent claims in memory, for when the store is restored from a copy without them."""

from collections import OrderedDict

import attrs

from marjoramtide.claims._claim_record import ClaimRecord
from marjoramtide.clock import Clock

# The store is restored from a copy of at most this age, which contains all earlier claims.
MAX_COPY_AGE_S = 30.0
# Unknown keys are refused for this time after a restore. The nodes notice it within 2 s and rewrite
# the claims of 30 s within 10 s, at 133 claims and 400 writes per second.
REWRITE_WINDOW_S = 15.0
MAX_CLAIMS = 20_000


@attrs.frozen(slots=True)
class RememberedClaim:
    """A claim, the time of its last update here, and whether this node made it."""

    record: ClaimRecord
    updated_at: float
    is_own: bool


class RecentClaims:
    """The claims of the last ``MAX_COPY_AGE_S`` that this node made or received from another one.

    The store may be restored from a copy that lacks the claim of a request that has run. A retry
    with the same key would then find the key free and run the request twice. Each claim is
    therefore kept by its own node and by others, which rewrite it after a restore. Until all nodes
    have done so, requests with unknown keys are refused as not run.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.claims: OrderedDict[str, RememberedClaim] = OrderedDict()
        self.blocked_until = float("-inf")

    def add_own(self, key: str, record: ClaimRecord) -> None:
        """Add or update a claim of this node."""
        self._add(key, record, is_own=True)

    def add_remote(self, key: str, record: ClaimRecord) -> None:
        """Add a claim that another node holds, unless this node has its own claim of the key."""
        known = self.claims.get(key)
        if known is None or not known.is_own:
            self._add(key, record, is_own=False)

    def block_unknown_keys(self, seconds: float = REWRITE_WINDOW_S) -> None:
        """Refuse unknown keys for ``seconds``."""
        self.blocked_until = self.clock.monotonic() + seconds

    def blocked_for_s(self) -> float:
        """Return for how many more seconds unknown keys are refused."""
        return max(0.0, self.blocked_until - self.clock.monotonic())

    def find(self, key: str) -> ClaimRecord | None:
        known = self.claims.get(key)
        return None if known is None else known.record

    def claims_to_rewrite(self) -> list[tuple[str, ClaimRecord]]:
        """Return the claims to rewrite into the store, with their object keys.

        Another node's claim is written in the state received, held: nobody takes it over, and its
        own node, if it is alive, writes the outcome of the request.
        """
        self._evict_old()
        return [(key, known.record) for key, known in self.claims.items()]

    def _add(self, key: str, record: ClaimRecord, *, is_own: bool) -> None:
        self.claims.pop(key, None)
        self.claims[key] = RememberedClaim(record, self.clock.monotonic(), is_own)
        if len(self.claims) > MAX_CLAIMS:
            self.claims.popitem(last=False)
        self._evict_old()

    def _evict_old(self) -> None:
        evict_before = self.clock.monotonic() - MAX_COPY_AGE_S
        while self.claims and next(iter(self.claims.values())).updated_at < evict_before:
            self.claims.popitem(last=False)
