"""How many requests a second a cold backend server is given."""

import math
from collections import deque

import attrs

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
class ColdGate:
    """Lets begin what a cold server bears: a token bucket of ``rate`` and ``burst``.

    Failure: a server that has just started is idle, so everyone sends to it; it gets twenty
    requests in its first second and crashes, and all its requests are lost. This gate stands
    beside the server, the only way to it, so that it counts what all nodes send.

    Counted is also while the server is warm, since it may become cold at any moment. What was sent
    before this node started is not known: to a server that was up before, nothing begins in the
    node's first second. Times are in seconds of the monotonic clock; ``began_at`` is the node's
    start, ``server_began_at`` that of the backend server as far as is known.
    """

    began_at: float
    rule: ColdRule = attrs.Factory(ColdRule)
    cold_until: float = -math.inf
    server_began_at: float = -math.inf
    tokens: float = 0.0
    refilled_at: float = -math.inf
    sent: deque[float] = attrs.Factory(deque)

    def server_started(self, now: float) -> None:
        """Begin to count for another start of the server, cold until it says otherwise."""
        self.sent.clear()
        self.server_began_at = now
        self.cold_until = -math.inf
        self.note_cold(self.rule.start_s, now)

    def note_cold(self, left_s: float, now: float) -> None:
        """Take in for how much longer the server says that it is cold."""
        if left_s > 0 and not self.is_cold(now):
            self.server_began_at = max(self.server_began_at, now - self.rule.start_s + left_s)
            self.refilled_at = -math.inf
        self.cold_until = now + left_s

    def is_cold(self, now: float) -> bool:
        return bool(self.rule.per_s) and now < self.cold_until

    def allows(self, now: float) -> bool:
        """Tell whether a request may begin now."""
        return self.opens_at(now) <= now

    def note_sent(self, now: float) -> None:
        """Count a request that begins now."""
        if not self.rule.per_s:
            return
        if self.is_cold(now):
            self._refill(now)
            self.tokens -= 1
        self._forget(now)
        self.sent.append(now)

    def opens_at(self, now: float) -> float:
        """Return when the next request may begin, in seconds."""
        if not self.is_cold(now):
            return now
        self._refill(now)
        self._forget(now)
        opens_at = now + max(0.0, 1 - self.tokens) / self.rule.rate
        excess = len(self.sent) + 1 - int(self.rule.last_resort)
        if excess > 0:
            opens_at = max(opens_at, self.sent[excess - 1] + SECOND_S)
        return min(self.cold_until, opens_at)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return after how many seconds a request may begin behind ``ahead`` others."""
        if not self.is_cold(now):
            return 0.0
        next_s = self.opens_at(now) - now
        return min(max(next_s, (ahead + 1 - self.tokens) / self.rule.rate), self.cold_until - now)

    def concurrency(self, service_ms: float, now: float) -> float:
        """Return how many run at once where as many begin as the server bears.

        By Little's law, and at least as many as may begin at once while their time is not known.
        """
        if not self.is_cold(now):
            return math.inf
        return max(1.0, self.rule.rate * service_ms / 1000 if service_ms else self.rule.burst)

    def _begin(self, now: float) -> None:
        """Start with what the last second has left of a full bucket, or empty where it is unknown.

        A server that started after this node has got nothing that was not counted here.
        """
        self._forget(now)
        self.refilled_at = now
        self.tokens = self.rule.burst - max(0.0, len(self.sent) - self.rule.rate)
        unknown_s = self.began_at + SECOND_S - now
        if self.server_began_at < self.began_at and unknown_s > 0:
            self.tokens = 1 - self.rule.rate * unknown_s

    def _refill(self, now: float) -> None:
        if self.refilled_at == -math.inf:
            self._begin(now)
        passed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(self.rule.burst, self.tokens + passed * self.rule.rate)

    def _forget(self, now: float) -> None:
        while self.sent and self.sent[0] <= now - SECOND_S:
            self.sent.popleft()
