"""How long executions of one kind take."""

import attrs

from marjoramtide.policy._ewma import Ewma

# Mean deviations above the mean that a waiting request is kept time for: four in five take less.
# On a fleet of ten nodes it was worth 0.006 to 0.011 of what callers are owed, half and double of
# it 0.004 (means of fifteen paired days).
PLANNED_DEVIATIONS = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class KindTimes:
    """The smoothed times, in milliseconds, of one route's requests of one class.

    ``mean`` follows what is usual now, ``quick`` the low end: what less than this remains for can't
    finish even when the server is at its best. ``base`` is the long-run time, by which kinds are
    made comparable, and ``deviation`` how far from it single ones lie on the mean.
    """

    mean: Ewma = attrs.Factory(lambda: Ewma(0.2, 0.2))
    deviation: Ewma = attrs.Factory(lambda: Ewma(0.05, 0.05))
    quick: Ewma = attrs.Factory(lambda: Ewma(0.01, 0.3))
    base: Ewma = attrs.Factory(lambda: Ewma(0.02, 0.02))

    def learn(self, duration_ms: float) -> None:
        """Take in a good execution."""
        if self.mean.count:
            self.deviation.add_mean(abs(duration_ms - self.base.value))
        self.mean.add(duration_ms)
        self.quick.add(duration_ms)
        self.base.add_mean(duration_ms)

    @property
    def planned_ms(self) -> float:
        """Return what an execution should be given time for, in milliseconds.

        Failure: more comes than can be done, and each request starts at the last moment at which
        the mean would still be in time. Half of them take longer and are late: their slots served
        nobody. With time kept for the longer ones others start in their place.
        """
        return self.mean.value + PLANNED_DEVIATIONS * self.deviation.value
