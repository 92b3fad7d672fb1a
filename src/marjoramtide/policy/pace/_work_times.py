"""Undisturbed run times of the requests of one kind."""

import attrs

from marjoramtide.policy._ewma import Ewma

# The assumed run time while none is known, between those of short and long kinds of requests (22 ms
# and 680 ms). It only decides whether a slowed server is avoided or waited for, and only until the
# first executions have ended.
DEFAULT_WORK_MS = 100.0
# Planned run times are this many mean deviations above the mean: nine in ten requests take less.
PLANNED_DEVIATIONS = 1.5


@attrs.define(slots=True, eq=False, repr=False)
class WorkTimes:
    """The mean run time and the mean deviation from it, in milliseconds."""

    mean: Ewma = attrs.Factory(lambda: Ewma(0.05, 0.05))
    deviation: Ewma = attrs.Factory(lambda: Ewma(0.05, 0.05))

    def add(self, work_ms: float) -> None:
        """Add the undisturbed time of one execution."""
        if self.mean.count:
            self.deviation.add(abs(work_ms - self.mean.value))
        self.mean.add(work_ms)

    @property
    def planned_ms(self) -> float:
        """Return the run time to plan for."""
        return self.mean.value + PLANNED_DEVIATIONS * self.deviation.value
