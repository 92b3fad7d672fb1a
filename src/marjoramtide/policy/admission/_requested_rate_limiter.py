"""How many requests a second a backend server is given that has named a limit itself."""

import math

import attrs

from marjoramtide.policy.admission._rate_limiter import RateLimiter
from marjoramtide.policy.admission._sent_requests import SentRequests
from marjoramtide.policy.budgets import TokenBucket

# How far what a server gets may exceed its limit: by a half over any ``WINDOW_S`` seconds and by
# ``SLACK`` requests, from ``GRACE_S`` seconds after it has named the limit.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5.0
GRACE_S = 3.0
# By how long the first word of a limit may have been on its way, in seconds.
UNHEARD_S = 0.5
# What may arrive closer together at the server than it was sent here.
MARGIN = 1
# How much of its rate a server may be given at once, in seconds.
BURST_S = 0.25
# A server that takes nothing is given a request now and then, since it may tell the end of its
# limit in answers alone.
LEAST_PER_S = 0.25


@attrs.define(slots=True, eq=False, repr=False)
class RequestedRateLimiter(RateLimiter):
    """Lets begin what a server has said that it takes: a token bucket of its rate.

    Failure: a server in need says in its answers how many requests a second it takes, and goes on
    to get its even share, three times as much. This gate stands beside the server, the only way to
    it, so that it counts what all nodes send.

    It gives the server what it asks for; the bound is a last resort, for what was sent before the
    server had named its limit. A node that starts anew doesn't know what was sent before, so the
    bucket begins empty.
    """

    sent: SentRequests
    named: float | None = None
    since: float = -math.inf
    bucket: TokenBucket = attrs.Factory(lambda: TokenBucket(LEAST_PER_S, 1.0))

    def set_rate(self, rate_per_s: float | None, since: float, now: float) -> None:
        """Go by another limit, which was first named or last fell at ``since``."""
        if rate_per_s is not None and rate_per_s != self.named:
            rate = max(rate_per_s, LEAST_PER_S)
            level = 0.0 if self.named is None else self.bucket.refill(now)
            burst = 1.0 + rate * BURST_S
            self.bucket = TokenBucket(rate, burst, min(level, burst), now)
        self.named = rate_per_s
        self.since = since

    def server_started(self) -> None:
        """Begin with another start of the server, which has named nothing."""
        self.named = None

    def holds(self, now: float) -> bool:
        return self.named is not None

    def note_sent(self, now: float) -> None:
        if self.named is not None:
            self.bucket.spend(1, now)

    def opens_at(self, now: float) -> float:
        if self.named is None:
            return now
        return max(now + self.bucket.wait_s(1, now), self._within_bound_at(now))

    def wait_s(self, ahead: int, now: float) -> float:
        if self.named is None:
            return 0.0
        return max(self.opens_at(now) - now, self.bucket.wait_s(ahead + 1, now))

    def concurrency(self, service_ms: float, now: float) -> float:
        if self.named is None:
            return math.inf
        # Rounded up, since the gate itself holds back what comes too early.
        return max(
            1, math.ceil(self.named * service_ms / 1000 if service_ms else self.bucket.burst)
        )

    def _within_bound_at(self, now: float) -> float:
        """Return when one more request keeps within the bound."""
        assert self.named is not None
        most = int(EXCESS * self.named * WINDOW_S + SLACK) - MARGIN
        binds_at = max(now, self.since + GRACE_S - UNHEARD_S)
        counted = self.sent.since(binds_at - WINDOW_S)
        return now if len(counted) < most else counted[most - 1] + WINDOW_S
