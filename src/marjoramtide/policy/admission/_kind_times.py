"""Execution times of one kind of request."""

import attrs

from marjoramtide.policy._ewma import Ewma

# Mean deviations above the mean that a waiting request is planned with: four in five take less.
# With half or double of it callers gain less.
PLANNED_DEVIATIONS = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class KindTimes:
    """The smoothed times, in milliseconds, of one route's requests of one class.

    ``mean`` follows the current average, ``low`` the low end: a request with less time left than
    this can't finish even if the server is at its fastest. ``base`` is the long-run mean, by which
    kinds are compared, and ``deviation`` the mean absolute deviation from it.
    """

    mean: Ewma = attrs.Factory(lambda: Ewma(0.2, 0.2))
    deviation: Ewma = attrs.Factory(lambda: Ewma(0.05, 0.05))
    low: Ewma = attrs.Factory(lambda: Ewma(0.01, 0.3))
    base: Ewma = attrs.Factory(lambda: Ewma(0.02, 0.02))

    def add(self, duration_ms: float) -> None:
        """Record a successful execution."""
        if self.mean.count:
            self.deviation.add_mean(abs(duration_ms - self.base.value))
        self.mean.add(duration_ms)
        self.low.add(duration_ms)
        self.base.add_mean(duration_ms)

    @property
    def planned_ms(self) -> float:
        """Return the time to plan for an execution, in milliseconds.

        Failure: under overload each request starts at the last moment at which the mean would still
        be in time. Half of them take longer and are late: their slots served nobody. If more time
        is planned, other requests start in their place.
        """
        return self.mean.value + PLANNED_DEVIATIONS * self.deviation.value
