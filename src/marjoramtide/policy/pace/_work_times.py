"""How long requests of one kind run undisturbed."""

import attrs

from marjoramtide.policy._ewma import Ewma

# What work is taken to need, in milliseconds, while nothing is known of it: between the shortest
# and the longest kinds of the fleets measured, 22 ms and 680 ms. Only whether a slowed server is
# shunned or waited for depends on it, and only until the first executions have ended.
DEFAULT_WORK_MS = 100.0
# Deviations above the mean that a request is planned to take: nine in ten take less.
PLANNED_DEVIATIONS = 1.5


@attrs.define(slots=True, eq=False, repr=False)
class WorkTimes:
    """The mean, and the mean deviation from it, in milliseconds."""

    mean: Ewma = attrs.Factory(lambda: Ewma(0.05, 0.05))
    deviation: Ewma = attrs.Factory(lambda: Ewma(0.05, 0.05))

    def add(self, work_ms: float) -> None:
        """Add the undisturbed time of one execution."""
        if self.mean.count:
            self.deviation.add(abs(work_ms - self.mean.value))
        self.mean.add(work_ms)

    @property
    def planned_ms(self) -> float:
        """Return what a request should be given time for."""
        return self.mean.value + PLANNED_DEVIATIONS * self.deviation.value
