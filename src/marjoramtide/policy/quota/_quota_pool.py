"""The part of a workspace's quota that one node owns and leases to other nodes."""

import math

import attrs

from marjoramtide.policy.budgets import TokenBucket
from marjoramtide.policy.quota._demand_rate import DemandRate
from marjoramtide.policy.quota._expiring_tokens import ExpiringTokens

# How many seconds of its demand an owner keeps for its own data centre when another one borrows.
RESERVE_S = 0.25
# How many seconds of its demand an owner borrows at a time, how long borrowed tokens are valid, and
# the delay before it borrows again after it got less than it asked for.
LOAN_S = 0.25
# The additional retry delay, in seconds, for each multiple of the quota by which demand exceeds it.
EXCESS_DELAY_S = 0.5
MAX_RETRY_AFTER_S = 10.0
# A new pool starts with one token: how much was used before is unknown.
INITIAL_TOKENS = 1.0
# The minimum capacity of a pool. With a capacity of one token, what is refilled while that token
# waits to be leased would be lost, and a workspace of few requests a second would be rejected below
# its quota.
MIN_BURST = 2.0


@attrs.define(slots=True, eq=False, repr=False)
class QuotaPool:
    """A token bucket with a share of the quota, and tokens lent by other data centres."""

    bucket: TokenBucket
    borrowed: ExpiringTokens = attrs.Factory(ExpiringTokens)
    demand: DemandRate = attrs.Factory(DemandRate)
    can_borrow_at: float = -math.inf

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Apply a share that may have changed: requests per second, and burst."""
        size = max(MIN_BURST, burst)
        if (self.bucket.rate, self.bucket.burst) == (rate, size):
            return
        self.bucket.refill(now)
        self.bucket.rate, self.bucket.burst = rate, size
        self.bucket.refill(now)

    def lease(self, wanted: int, now: float) -> int:
        """Lease tokens to a node of this data centre and return their number.

        Borrowed tokens that expired go into the bucket, up to its capacity: of three tokens of a
        small workspace, two are requested where one is needed.
        """
        self.demand.note(wanted, now)
        self.give_back(self.borrowed.drop_expired(now), now)
        borrowed = self.borrowed.take(wanted, now)
        return borrowed + self._take(wanted - borrowed, self.bucket.refill(now), now)

    def lend(self, wanted: int, now: float) -> int:
        """Lend tokens to another data centre and return their number.

        A reserve for the own data centre is kept, but no more than its share: otherwise demand that
        has just moved away would reserve tokens that nobody takes.
        """
        reserve = math.floor(RESERVE_S * min(self.demand.rate(now), self.bucket.rate))
        return self._take(wanted, self.bucket.refill(now) - reserve, now)

    def _take(self, wanted: int, available: float, now: float) -> int:
        taken = max(0, min(wanted, math.floor(available)))
        self.bucket.spend(taken, now)
        return taken

    def give_back(self, amount: int, now: float) -> None:
        """Take back tokens that were leased and not used."""
        self.bucket.level = min(self.bucket.burst, self.bucket.refill(now) + amount)

    def can_borrow(self, now: float) -> bool:
        return now >= self.can_borrow_at

    def loan_size(self, now: float) -> int:
        """Return how many tokens to borrow from all other data centres together."""
        return max(1, math.ceil(self.demand.rate(now) * LOAN_S))

    def add_loan(self, amount: int, wanted: int, asked_at: float) -> None:
        """Add borrowed tokens; if fewer than ``wanted``, the next loan is delayed."""
        self.borrowed.add(amount, asked_at + LOAN_S)
        if amount < wanted:
            self.can_borrow_at = asked_at + LOAN_S

    def retry_after_s(self, rate: float, now: float) -> float:
        """Return the retry delay, in seconds, of a caller that gets no token.

        ``rate`` is the whole quota in requests a second, since other data centres lend tokens. The
        delay grows with the excess demand, or most callers would be rejected again.
        """
        next_s = min(self.bucket.wait_s(1.0, now), 1 / rate)
        excess = max(0.0, self.demand.rate(now) / self.bucket.rate - 1)
        return min(MAX_RETRY_AFTER_S, next_s + EXCESS_DELAY_S * excess)


def make_quota_pool(rate: float, burst: float, known_s: float, now: float) -> QuotaPool:
    """Return an unused pool for a share that this node has owned for ``known_s`` seconds."""
    size = max(MIN_BURST, burst)
    level = min(size, INITIAL_TOKENS + rate * known_s)
    return QuotaPool(TokenBucket(rate, size, level, now))
