"""How many requests a second a cold backend server is given."""

import math

import attrs

from marjoramtide.policy.admission._rate_limiter import RateLimiter
from marjoramtide.policy.admission._sent_requests import SentRequests
from marjoramtide.policy.budgets import TokenBucket

# Over how long a rate is counted, in seconds.
SECOND_S = 1.0


@attrs.frozen(slots=True)
class ColdRule:
    """What the settings say of cold backend servers.

    A server is cold for ``start_s`` after its start and then bears ``per_s`` requests a second; 0
    where nothing is known of that, and it is given what it has slots for. In no second may it get
    more than ``per_s`` times ``excess``, and ``slack`` besides. It is given the former steadily,
    and half of the latter at once.
    """

    start_s: float = 0.0
    per_s: float = 0.0
    excess: float = 1.0
    slack: float = 0.0

    @property
    def rate(self) -> float:
        """Return how many requests a second a cold server is given."""
        return self.per_s * self.excess

    @property
    def burst(self) -> float:
        """Return how many may begin at once."""
        return max(1.0, self.slack / 2)

    @property
    def last_resort(self) -> float:
        """Return what is kept to in any second whatever was sent while the server was warm.

        Below the bound by what may arrive closer together at the server than it was sent here.
        """
        return max(1.0, self.rate + 0.75 * self.slack)


@attrs.define(slots=True, eq=False, repr=False)
class ColdRateLimiter(RateLimiter):
    """Lets begin what a cold server bears: a token bucket of ``rate`` and ``burst``.

    Failure: a server that has just started is idle, so everyone sends to it; it gets twenty
    requests in its first second and crashes, and all its requests are lost. This gate stands
    beside the server, the only way to it, so that it counts what all nodes send.

    What was sent while the server was warm counts, since it may become cold at any moment. What was
    sent before this node started is not known: to a server that was up before, nothing begins in
    the node's first second. ``began_at`` is the node's start, ``server_began_at`` that of the
    backend server as far as is known; ``sent`` is counted by whoever owns this gate.
    """

    began_at: float
    sent: SentRequests
    rule: ColdRule = attrs.Factory(ColdRule)
    cold_until: float = -math.inf
    server_began_at: float = -math.inf
    bucket: TokenBucket | None = None

    def set_rule(self, rule: ColdRule) -> None:
        """Go on by changed settings."""
        self.rule = rule
        if self.bucket is not None:
            self.bucket.rate, self.bucket.burst = rule.rate, rule.burst

    def server_started(self, now: float) -> None:
        """Begin to count for another start of the server, cold until it says otherwise."""
        self.server_began_at = now
        self.cold_until = -math.inf
        self.set_cold_time(self.rule.start_s, now)

    def set_cold_time(self, left_s: float, now: float) -> None:
        """Take in for how much longer the server says that it is cold."""
        if left_s > 0 and not self.holds(now):
            self.server_began_at = max(self.server_began_at, now - self.rule.start_s + left_s)
            self.bucket = None
        self.cold_until = now + left_s

    def holds(self, now: float) -> bool:
        return bool(self.rule.per_s) and now < self.cold_until

    def note_sent(self, now: float) -> None:
        if self.holds(now):
            self._bucket(now).spend(1, now)

    def opens_at(self, now: float) -> float:
        if not self.holds(now):
            return now
        opens_at = now + self._bucket(now).wait_s(1, now)
        lately = self.sent.since(now - SECOND_S)
        most = int(self.rule.last_resort)
        if len(lately) >= most:
            opens_at = max(opens_at, lately[most - 1] + SECOND_S)
        return min(self.cold_until, opens_at)

    def wait_s(self, ahead: int, now: float) -> float:
        if not self.holds(now):
            return 0.0
        next_s = self.opens_at(now) - now
        return min(max(next_s, self._bucket(now).wait_s(ahead + 1, now)), self.cold_until - now)

    def concurrency(self, service_ms: float, now: float) -> float:
        if not self.holds(now):
            return math.inf
        return max(1.0, self.rule.rate * service_ms / 1000 if service_ms else self.rule.burst)

    def _bucket(self, now: float) -> TokenBucket:
        """Return the bucket; it begins with what the last second has left of a full one.

        It begins empty where that isn't known. A server that started after this node has got
        nothing that was not counted here.
        """
        if self.bucket is None:
            lately = len(self.sent.since(now - SECOND_S))
            level = self.rule.burst - max(0.0, lately - self.rule.rate)
            unknown_s = self.began_at + SECOND_S - now
            if self.server_began_at < self.began_at and unknown_s > 0:
                level = 1 - self.rule.rate * unknown_s
            self.bucket = TokenBucket(self.rule.rate, self.rule.burst, level, now)
        return self.bucket
