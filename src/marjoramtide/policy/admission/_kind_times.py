"""How long executions of one kind take."""

import attrs

from marjoramtide.policy._smoothed import Smoothed


@attrs.define(slots=True)
class KindTimes:
    """The smoothed times, in milliseconds, of one route's requests of one class.

    ``mean`` follows what is usual now, ``quick`` the low end: what less than this remains for can't
    finish even when the server is at its best. ``base`` is the long-run time, by which kinds are
    made comparable.
    """

    mean: Smoothed = attrs.Factory(lambda: Smoothed(0.2, 0.2))
    quick: Smoothed = attrs.Factory(lambda: Smoothed(0.01, 0.3))
    base: Smoothed = attrs.Factory(lambda: Smoothed(0.02, 0.02))

    def learn(self, duration_ms: float) -> None:
        """Take in a good execution."""
        self.mean.add(duration_ms)
        self.quick.add(duration_ms)
        self.base.add_mean(duration_ms)
