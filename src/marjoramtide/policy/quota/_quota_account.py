"""What one node may still admit for a workspace."""

import math

import attrs

from marjoramtide.policy.quota._demand_rate import DemandRate
from marjoramtide.policy.quota._expiring_tokens import ExpiringTokens

# For how long leased tokens are good, in seconds from when they were asked for.
LEASE_S = 0.5
# For how long ahead tokens are asked for, by the demand of late, in seconds: less than a lease.
AHEAD_S = 0.2
MOST_WANTED = 1000
# How soon an owner that had no token is asked again, in seconds.
ASK_AGAIN_S = 0.1


@attrs.define(slots=True, eq=False, repr=False)
class QuotaAccount:
    """Tokens leased from the owner of the workspace's quota, and when there may be more.

    ``refused_until`` is when the owner is asked again that had none, ``more_at`` when a caller
    should come back; ``returned`` counts tokens that were leased and not used, to be given back
    with the next question. ``admitted`` and ``refusals`` count requests since the start.
    """

    tokens: ExpiringTokens = attrs.Factory(ExpiringTokens)
    demand: DemandRate = attrs.Factory(DemandRate)
    ask_again_at: float = -math.inf
    retry_at: float = -math.inf
    returned: int = 0
    admitted: int = 0
    refusals: int = 0

    def spend(self, now: float) -> bool:
        """Take a token for a request; tell whether there was one."""
        return self.tokens.take(1, now) == 1

    def wanted(self, waiting: int, now: float) -> int:
        """Return how many tokens to ask for while so many requests wait for one.

        A workspace of a few requests a second gets one at a time: more would lie unused at one
        node while callers of another one are refused.
        """
        ahead = math.floor(self.demand.rate(now) * AHEAD_S)
        return min(MOST_WANTED, max(1, waiting, ahead))

    def add_lease(self, amount: int, asked_at: float) -> None:
        """Take in what the owner has leased in answer to a question of that time."""
        self.tokens.add(amount, asked_at + LEASE_S)

    def record_refusal(self, wait_s: float, now: float) -> None:
        """Take in that the owner has none, and after how long a caller should come back."""
        self.retry_at = now + wait_s
        self.ask_again_at = now + min(wait_s, ASK_AGAIN_S)

    def give_back(self, leased_at: float, now: float) -> None:
        """Take back the token of a request that did not run.

        Good for the next request while its lease lasts, for the owner after that.
        """
        if now - leased_at < LEASE_S:
            self.tokens.add(1, leased_at + LEASE_S)
        else:
            self.returned += 1

    def take_returned(self) -> int:
        """Return what is to be given back, once."""
        returned, self.returned = self.returned, 0
        return returned
