"""The budget of reads of a backend server's health and load endpoints."""

import attrs

from marjoramtide.policy._ewma import Ewma

ASSUMED_READ_MS = 5.0
RECENT_TRAFFIC_S = 1.0
TRAFFIC_BACKOFF = 4.0
IDLE_BACKOFF = 2.0
MAX_BACKOFF_S = 2.0


@attrs.define(slots=True, eq=False, repr=False)
class HealthCheckBudget:
    """Tells when the node may next read its backend server's health or load endpoint.

    Two limits apply: ``per_s`` reads a second, and ``share`` of the backend server's capacity. A
    read occupies one of its ``slots`` for as long as it takes, or as an execution takes if that is
    longer: the cost of a read inside the server is not visible here, and this also keeps the share
    in terms of requests. A slow endpoint is therefore read less often, not more often. Within the
    limits the interval adapts: responses to callers' requests already show the state of the server,
    so reads are up to ``TRAFFIC_BACKOFF`` times rarer while there is traffic; an idle server is
    read at up to ``IDLE_BACKOFF`` times the shortest interval; a failed request brings the next
    read forward to the shortest one. The longer intervals end at ``MAX_BACKOFF_S`` so that a server
    that starts to drain is noticed within a few seconds, unless the limits require a longer one.
    """

    per_s: float
    share: float
    slots: int
    read_ms: Ewma = attrs.Factory(lambda: Ewma(1.0, 0.3, ASSUMED_READ_MS, 1))
    execution_ms: Ewma = attrs.Factory(lambda: Ewma(0.05, 0.05))
    last_read_at: float | None = None
    last_traffic_at: float | None = None
    needs_check: bool = True

    def for_new_server(self) -> "HealthCheckBudget":
        """Return the budget for a new server process; the last read still counts."""
        fresh = HealthCheckBudget(self.per_s, self.share, self.slots)
        fresh.last_read_at = self.last_read_at
        return fresh

    @property
    def min_interval_s(self) -> float:
        """Return the shortest interval between reads in seconds; infinite if none are allowed."""
        cost_ms = max(self.read_ms.value, self.execution_ms.value)
        rate = min(self.per_s, self.share * self.slots * 1000 / cost_ms)
        return 1 / rate if rate > 0 else float("inf")

    def next_read_at(self, now: float) -> float:
        """Return the time of the next read; not after ``now`` if it is due."""
        if self.last_read_at is None:
            return now if self.min_interval_s < float("inf") else float("inf")
        return self.last_read_at + self._interval_s(now)

    def _interval_s(self, now: float) -> float:
        shortest_s = self.min_interval_s
        if self.needs_check:
            return shortest_s
        has_traffic = (
            self.last_traffic_at is not None and now - self.last_traffic_at < RECENT_TRAFFIC_S
        )
        backoff = TRAFFIC_BACKOFF if has_traffic else IDLE_BACKOFF
        return max(shortest_s, min(shortest_s * backoff, MAX_BACKOFF_S))

    def record_read(self, now: float, took_ms: float = ASSUMED_READ_MS) -> None:
        """Record a read that ended now after ``took_ms``, with any result."""
        self.last_read_at = now
        self.read_ms.add(max(took_ms, 0.01))
        self.needs_check = False

    def record_response(
        self, now: float, succeeded: bool = True, took_ms: float | None = None
    ) -> None:
        """Record a response of the backend server to a caller's request, and how long it took."""
        if took_ms is not None and succeeded:
            self.execution_ms.add(took_ms)
        self.last_traffic_at = now
        self.needs_check = self.needs_check or not succeeded
