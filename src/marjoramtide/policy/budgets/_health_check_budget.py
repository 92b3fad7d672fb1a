"""The budget of reads of a backend server's own endpoints."""

import attrs

from marjoramtide.policy._ewma import Ewma

ASSUMED_READ_MS = 5.0
TRAFFIC_RECENT_S = 1.0
TRAFFIC_STRETCH = 4.0
IDLE_STRETCH = 2.0
STRETCH_CEILING_S = 2.0


@attrs.define(slots=True, eq=False, repr=False)
class HealthCheckBudget:
    """Says when the node may next read its backend server's health or load endpoint.

    Two bounds hold at any moment: ``per_s`` reads a second, and ``share`` of the backend server's
    capacity, where a read occupies one of its ``slots`` for as long as it takes, or as an execution
    takes if that is longer: what a read costs inside the server isn't seen from here, and counted
    in requests its share is then kept too. A slow endpoint is therefore read more rarely, not more
    often. Below the bound the interval adapts: answers of
    callers' requests already tell how the server does, so reads are up to ``TRAFFIC_STRETCH`` times
    rarer while there are some; an idle server is read a little; a failed request brings the next
    read forward to the bound. The stretch ends at ``STRETCH_CEILING_S`` so that a server that
    starts to drain is noticed within a few seconds, unless the bound itself is slower than that.
    """

    per_s: float
    share: float
    slots: int
    read_ms: Ewma = attrs.Factory(lambda: Ewma(1.0, 0.3, ASSUMED_READ_MS, 1))
    execution_ms: Ewma = attrs.Factory(lambda: Ewma(0.05, 0.05))
    last_read_at: float | None = None
    last_traffic_at: float | None = None
    in_doubt: bool = True

    def for_new_server(self) -> "HealthCheckBudget":
        """Return the budget of a server that nothing is known of; the last read still counts."""
        fresh = HealthCheckBudget(self.per_s, self.share, self.slots)
        fresh.last_read_at = self.last_read_at
        return fresh

    @property
    def min_interval_s(self) -> float:
        """Return the seconds between reads at the bound; infinite where nothing is allowed."""
        cost_ms = max(self.read_ms.value, self.execution_ms.value)
        rate = min(self.per_s, self.share * self.slots * 1000 / cost_ms)
        return 1 / rate if rate > 0 else float("inf")

    def next_read_at(self, now: float) -> float:
        """Return the time of the next read; not after ``now`` where it is due."""
        if self.last_read_at is None:
            return now if self.min_interval_s < float("inf") else float("inf")
        return self.last_read_at + self._interval_s(now)

    def _interval_s(self, now: float) -> float:
        bound = self.min_interval_s
        if self.in_doubt:
            return bound
        recent = self.last_traffic_at is not None and now - self.last_traffic_at < TRAFFIC_RECENT_S
        stretch = TRAFFIC_STRETCH if recent else IDLE_STRETCH
        return max(bound, min(bound * stretch, STRETCH_CEILING_S))

    def record_read(self, now: float, took_ms: float = ASSUMED_READ_MS) -> None:
        """Note a read that ended now after ``took_ms``, whatever came of it."""
        self.last_read_at = now
        self.read_ms.add(max(took_ms, 0.01))
        self.in_doubt = False

    def record_response(
        self, now: float, succeeded: bool = True, took_ms: float | None = None
    ) -> None:
        """Note an answer of the backend server to a caller's request, and how long it took."""
        if took_ms is not None and succeeded:
            self.execution_ms.add(took_ms)
        self.last_traffic_at = now
        self.in_doubt = self.in_doubt or not succeeded
