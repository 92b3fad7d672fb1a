"""The part of a workspace's quota that one node owns and leases to others."""

import math

import attrs

from marjoramtide.policy.budgets import TokenBucket
from marjoramtide.policy.quota._demand_rate import DemandRate
from marjoramtide.policy.quota._expiring_tokens import ExpiringTokens

# What an owner keeps for its own data centre when another one asks, as seconds of its demand.
KEPT_S = 0.25
# For how many seconds of its demand an owner borrows at a time, for how long borrowed tokens are
# good, and how soon it borrows again.
BORROWED_S = 0.25
# How much later callers come back for each time that the quota is asked for beyond it, in seconds.
EXCESS_S = 0.5
LONGEST_WAIT_S = 10.0
# A pool that was begun anew holds one token: how much was used before isn't known.
FIRST_TOKENS = 1.0
# What each pool may hold at least. With room for one token, what flows in while that one waits to
# be asked for would be lost, and a workspace of few requests a second would be refused below its
# quota.
LEAST_BURST = 2.0


@attrs.define(slots=True, eq=False, repr=False)
class QuotaPool:
    """A token bucket with a share of the quota, and what other data centres have lent."""

    bucket: TokenBucket
    borrowed: ExpiringTokens = attrs.Factory(ExpiringTokens)
    demand: DemandRate = attrs.Factory(DemandRate)
    borrows_again_at: float = -math.inf

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Go on by a share that may have changed, in requests a second and at once."""
        size = max(LEAST_BURST, burst)
        if (self.bucket.rate, self.bucket.burst) == (rate, size):
            return
        self.bucket.refill(now)
        self.bucket.rate, self.bucket.burst = rate, size
        self.bucket.refill(now)

    def lease(self, wanted: int, now: float) -> int:
        """Return how many tokens a node of this data centre gets.

        Borrowed ones that nobody took in time stay in the bucket, as far as it holds them: of three
        tokens of a small workspace, two are asked for where one is needed.
        """
        self.demand.note(wanted, now)
        self.give_back(self.borrowed.drop_ended(now), now)
        borrowed = self.borrowed.take(wanted, now)
        return borrowed + self._take(wanted - borrowed, self.bucket.refill(now), now)

    def lend(self, wanted: int, now: float) -> int:
        """Return how many tokens another data centre gets.

        What the own one needs is kept, but no more than its share: demand that has just moved away
        would otherwise hold on to tokens that nobody takes.
        """
        kept = math.floor(KEPT_S * min(self.demand.rate(now), self.bucket.rate))
        return self._take(wanted, self.bucket.refill(now) - kept, now)

    def _take(self, wanted: int, available: float, now: float) -> int:
        taken = max(0, min(wanted, math.floor(available)))
        self.bucket.spend(taken, now)
        return taken

    def give_back(self, amount: int, now: float) -> None:
        """Take back tokens that were leased and not used."""
        self.bucket.level = min(self.bucket.burst, self.bucket.refill(now) + amount)

    def can_borrow(self, now: float) -> bool:
        return now >= self.borrows_again_at

    def loan_size(self, now: float) -> int:
        """Return how many tokens to ask the other data centres for, together."""
        return max(1, math.ceil(self.demand.rate(now) * BORROWED_S))

    def add_loan(self, amount: int, wanted: int, asked_at: float) -> None:
        """Take in what others have lent; where that is less than wanted they are left alone."""
        self.borrowed.add(amount, asked_at + BORROWED_S)
        if amount < wanted:
            self.borrows_again_at = asked_at + BORROWED_S

    def retry_after_s(self, rate: float, now: float) -> float:
        """Return after how many seconds a caller that gets no token should come back.

        ``rate`` is the whole quota in requests a second: other data centres lend. Where more is
        asked for than there is, callers come back later by as much, or most would be refused again.
        """
        next_s = min(self.bucket.wait_s(1.0, now), 1 / rate)
        excess = max(0.0, self.demand.rate(now) / self.bucket.rate - 1)
        return min(LONGEST_WAIT_S, next_s + EXCESS_S * excess)


def make_quota_pool(rate: float, burst: float, known_s: float, now: float) -> QuotaPool:
    """Return the pool of a share that this node has owned for ``known_s`` seconds, unused."""
    size = max(LEAST_BURST, burst)
    level = min(size, FIRST_TOKENS + rate * known_s)
    return QuotaPool(TokenBucket(rate, size, level, now))
