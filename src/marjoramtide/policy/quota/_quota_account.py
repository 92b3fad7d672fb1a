"""The tokens of one node for a workspace."""

import math

import attrs

from marjoramtide.policy.quota._demand_rate import DemandRate
from marjoramtide.policy.quota._expiring_tokens import ExpiringTokens

# How long leased tokens are valid, in seconds from when they were requested.
LEASE_S = 0.5
# How many seconds of the recent demand are requested ahead: less than a lease.
PREFETCH_S = 0.2
MAX_REQUESTED_TOKENS = 1000
# How soon an owner without tokens is asked again at the latest, in seconds.
MAX_ASK_AGAIN_S = 0.1


@attrs.define(slots=True, eq=False, repr=False)
class QuotaAccount:
    """Tokens leased from the owner of the workspace's quota, and when there may be more.

    ``ask_again_at`` is when an owner without tokens is asked again, ``retry_at`` when a caller
    should retry; ``returned`` counts tokens that were leased and not used, to be given back with
    the next request to the owner. ``admitted`` and ``refusals`` count requests since the start.
    """

    tokens: ExpiringTokens = attrs.Factory(ExpiringTokens)
    demand: DemandRate = attrs.Factory(DemandRate)
    ask_again_at: float = -math.inf
    retry_at: float = -math.inf
    returned: int = 0
    admitted: int = 0
    refusals: int = 0

    def spend(self, now: float) -> bool:
        """Take a token for a request; return whether there was one."""
        return self.tokens.take(1, now) == 1

    def wanted(self, waiting: int, now: float) -> int:
        """Return how many tokens to request from the owner while so many requests wait for one.

        A workspace of a few requests a second gets one at a time: more would stay unused at one
        node while callers of another one are rejected.
        """
        ahead = math.floor(self.demand.rate(now) * PREFETCH_S)
        return min(MAX_REQUESTED_TOKENS, max(1, waiting, ahead))

    def add_lease(self, amount: int, asked_at: float) -> None:
        """Add the tokens that the owner has leased, which were requested at ``asked_at``."""
        self.tokens.add(amount, asked_at + LEASE_S)

    def record_refusal(self, wait_s: float, now: float) -> None:
        """Record that the owner has no tokens, and the retry delay of callers."""
        self.retry_at = now + wait_s
        self.ask_again_at = now + min(wait_s, MAX_ASK_AGAIN_S)

    def give_back(self, leased_at: float, now: float) -> None:
        """Return the token of a request that did not run.

        It serves the next request while its lease is valid, and goes back to the owner after that.
        """
        if now - leased_at < LEASE_S:
            self.tokens.add(1, leased_at + LEASE_S)
        else:
            self.returned += 1

    def take_returned(self) -> int:
        """Return the number of tokens to give back to the owner, and reset it."""
        returned, self.returned = self.returned, 0
        return returned
