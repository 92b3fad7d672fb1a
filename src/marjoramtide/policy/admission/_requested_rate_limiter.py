"""The request rate of a backend server that has requested a rate limit itself."""

import math

import attrs

from marjoramtide.policy.admission._rate_limiter import RateLimiter
from marjoramtide.policy.admission._sent_requests import SentRequests
from marjoramtide.policy.budgets import TokenBucket

# How far the requests to a server may exceed its limit: by a half over any ``WINDOW_S`` seconds and
# by ``SLACK`` requests, from ``GRACE_S`` seconds after it has requested the limit.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5.0
GRACE_S = 3.0
# How long the first request for a limit may have been on its way, in seconds.
NOTIFICATION_DELAY_S = 0.5
# Requests that may arrive at the server closer together than they were sent here.
MARGIN = 1
# The burst, in seconds of the requested rate.
BURST_S = 0.25
# A server with a limit of 0 still gets a request now and then, since it may announce the end of its
# limit only in responses.
MIN_PER_S = 0.25


@attrs.define(slots=True, eq=False, repr=False)
class RequestedRateLimiter(RateLimiter):
    """Starts as many requests as the server has asked for: a token bucket of that rate.

    Failure: an overloaded server states in its responses how many requests a second it can take,
    and still gets its even share, three times as much. This limiter runs beside the server, and all
    requests pass through it, so it counts what all nodes send.

    The token bucket follows the requested rate; the bound over ``WINDOW_S`` is a last resort for
    requests that were sent before the limit was known. A node that restarts does not know what was
    sent before, so the bucket starts empty.
    """

    sent: SentRequests
    rate_per_s: float | None = None
    since: float = -math.inf
    bucket: TokenBucket = attrs.Factory(lambda: TokenBucket(MIN_PER_S, 1.0))

    def set_rate(self, rate_per_s: float | None, since: float, now: float) -> None:
        """Apply another limit, which was first requested or last lowered at ``since``."""
        if rate_per_s is not None and rate_per_s != self.rate_per_s:
            rate = max(rate_per_s, MIN_PER_S)
            level = 0.0 if self.rate_per_s is None else self.bucket.refill(now)
            burst = 1.0 + rate * BURST_S
            self.bucket = TokenBucket(rate, burst, min(level, burst), now)
        self.rate_per_s = rate_per_s
        self.since = since

    def server_started(self) -> None:
        """Reset for a new server process, which has not requested a limit."""
        self.rate_per_s = None

    def is_active(self, now: float) -> bool:
        return self.rate_per_s is not None

    def record_sent(self, now: float) -> None:
        if self.rate_per_s is not None:
            self.bucket.spend(1, now)

    def next_start_at(self, now: float) -> float:
        if self.rate_per_s is None:
            return now
        return max(now + self.bucket.wait_s(1, now), self._within_bound_at(now))

    def wait_s(self, ahead: int, now: float) -> float:
        if self.rate_per_s is None:
            return 0.0
        return max(self.next_start_at(now) - now, self.bucket.wait_s(ahead + 1, now))

    def concurrency(self, service_ms: float, now: float) -> float:
        if self.rate_per_s is None:
            return math.inf
        # Rounded up, since the limiter itself delays requests that arrive too early.
        return max(
            1, math.ceil(self.rate_per_s * service_ms / 1000 if service_ms else self.bucket.burst)
        )

    def _within_bound_at(self, now: float) -> float:
        """Return when one more request stays within the bound over ``WINDOW_S``."""
        assert self.rate_per_s is not None
        limit = int(EXCESS * self.rate_per_s * WINDOW_S + SLACK) - MARGIN
        binds_at = max(now, self.since + GRACE_S - NOTIFICATION_DELAY_S)
        counted = self.sent.since(binds_at - WINDOW_S)
        return now if len(counted) < limit else counted[limit - 1] + WINDOW_S
