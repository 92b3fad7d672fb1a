"""The request rate of a cold backend server."""

import math

import attrs

from marjoramtide.policy.admission._rate_limiter import RateLimiter
from marjoramtide.policy.admission._sent_requests import SentRequests
from marjoramtide.policy.budgets import TokenBucket

# The period over which the rate is bounded, in seconds.
WINDOW_S = 1.0


@attrs.frozen(slots=True)
class ColdRule:
    """The settings for cold backend servers.

    A server is cold for ``start_s`` after its start and can then take ``per_s`` requests a second;
    0 if unknown, and its rate is not limited. Within any second it may get at most ``per_s`` times
    ``excess``, plus ``slack``. It is given the former as a steady rate, and half of the latter as a
    burst.
    """

    start_s: float = 0.0
    per_s: float = 0.0
    excess: float = 1.0
    slack: float = 0.0

    @property
    def rate(self) -> float:
        """Return how many requests a second are sent to a cold server."""
        return self.per_s * self.excess

    @property
    def burst(self) -> float:
        """Return how many requests may start at once."""
        return max(1.0, self.slack / 2)

    @property
    def max_per_window(self) -> float:
        """Return the hard limit in any second, including what was sent while the server was warm.

        It is below the allowed bound by the number of requests that may arrive at the server closer
        together than they were sent here.
        """
        return max(1.0, self.rate + 0.75 * self.slack)


@attrs.define(slots=True, eq=False, repr=False)
class ColdRateLimiter(RateLimiter):
    """Starts as many requests as a cold server can take: a token bucket of ``rate`` and ``burst``.

    Failure: a server that has just started is idle, so every node sends to it; it gets twenty
    requests in its first second and crashes, and all its requests are lost. This limiter runs
    beside the server, and all requests pass through it, so it counts what all nodes send.

    Requests sent while the server was warm count, since it may become cold at any moment. What was
    sent before this node started is unknown: if the server was already up then, nothing starts in
    the node's first second. ``started_at`` is the node's start, ``server_started_at`` that of the
    backend server as far as known; ``sent`` is filled by the owner of this limiter.
    """

    started_at: float
    sent: SentRequests
    rule: ColdRule = attrs.Factory(ColdRule)
    cold_until: float = -math.inf
    server_started_at: float = -math.inf
    bucket: TokenBucket | None = None

    def set_rule(self, rule: ColdRule) -> None:
        """Apply changed settings."""
        self.rule = rule
        if self.bucket is not None:
            self.bucket.rate, self.bucket.burst = rule.rate, rule.burst

    def server_started(self, now: float) -> None:
        """Reset for a new server process, which is cold unless it reports otherwise."""
        self.server_started_at = now
        self.cold_until = -math.inf
        self.set_cold_time(self.rule.start_s, now)

    def set_cold_time(self, left_s: float, now: float) -> None:
        """Set for how many more seconds the server is cold, as it reports."""
        if left_s > 0 and not self.is_active(now):
            self.server_started_at = max(self.server_started_at, now - self.rule.start_s + left_s)
            self.bucket = None
        self.cold_until = now + left_s

    def is_active(self, now: float) -> bool:
        return bool(self.rule.per_s) and now < self.cold_until

    def record_sent(self, now: float) -> None:
        if self.is_active(now):
            self._bucket(now).spend(1, now)

    def next_start_at(self, now: float) -> float:
        if not self.is_active(now):
            return now
        next_start_at = now + self._bucket(now).wait_s(1, now)
        recent = self.sent.since(now - WINDOW_S)
        limit = int(self.rule.max_per_window)
        if len(recent) >= limit:
            next_start_at = max(next_start_at, recent[limit - 1] + WINDOW_S)
        return min(self.cold_until, next_start_at)

    def wait_s(self, ahead: int, now: float) -> float:
        if not self.is_active(now):
            return 0.0
        next_s = self.next_start_at(now) - now
        return min(max(next_s, self._bucket(now).wait_s(ahead + 1, now)), self.cold_until - now)

    def concurrency(self, service_ms: float, now: float) -> float:
        if not self.is_active(now):
            return math.inf
        return max(1.0, self.rule.rate * service_ms / 1000 if service_ms else self.rule.burst)

    def _bucket(self, now: float) -> TokenBucket:
        """Return the bucket, which starts full but for the excess requests of the last second.

        It starts empty if that is unknown. All requests of a server that started after this node
        were counted here.
        """
        if self.bucket is None:
            recent = len(self.sent.since(now - WINDOW_S))
            level = self.rule.burst - max(0.0, recent - self.rule.rate)
            unknown_s = self.started_at + WINDOW_S - now
            if self.server_started_at < self.started_at and unknown_s > 0:
                level = 1 - self.rule.rate * unknown_s
            self.bucket = TokenBucket(self.rule.rate, self.rule.burst, level, now)
        return self.bucket
