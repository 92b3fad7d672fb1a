"""Noisy neighbours that slow a backend server down."""

import bisect
import random

import attrs


def between(least: float, most: float):  # type: ignore[no-untyped-def]
    """Return a validator for a number from ``least`` to ``most``, both included."""
    return attrs.validators.and_(attrs.validators.ge(least), attrs.validators.le(most))


@attrs.frozen(slots=True)
class Neighbours:
    """How often, by how much and for how long neighbours slow a server down.

    For a share ``share`` of the time work takes ``factor`` times longer, in slow periods of
    ``stretch_s`` seconds. ``on_grid`` draws the pace anew every ``stretch_s``; otherwise the slow
    periods have exponentially distributed lengths with that mean.
    """

    share: float = attrs.field(default=0.0, validator=between(0.0, 0.9))
    factor: float = attrs.field(default=1.0, validator=between(1.0, 20.0))
    stretch_s: float = attrs.field(default=0.3, validator=between(0.01, 60.0))
    on_grid: bool = True


@attrs.define(slots=True, eq=False)
class PaceTimeline:
    """The slowdown of one server over time, drawn as far ahead as it is asked for."""

    neighbours: Neighbours
    rng: random.Random
    starts: list[float] = attrs.Factory(list)
    factors: list[float] = attrs.Factory(list)

    def at(self, time: float) -> float:
        """Return the slowdown at ``time``."""
        if not self.neighbours.share:
            return 1.0
        return self.factors[self._segment_index(time)]

    def next_change(self, time: float) -> float:
        """Return the next time at which the slowdown may change."""
        if not self.neighbours.share:
            return float("inf")
        return self.starts[self._segment_index(time) + 1]

    def _segment_index(self, time: float) -> int:
        while len(self.starts) < 2 or self.starts[-1] <= time:
            self._draw_segment(time)
        return max(0, bisect.bisect_right(self.starts, time) - 1)

    def _draw_segment(self, time: float) -> None:
        neighbours = self.neighbours
        if not self.starts:
            self.starts.append(time - self.rng.random() * neighbours.stretch_s)
            self.factors.append(self._draw_factor())
        length_s = neighbours.stretch_s
        if neighbours.on_grid:
            factor = self._draw_factor()
        else:
            if self.factors[-1] == 1.0:
                length_s *= (1 - neighbours.share) / neighbours.share
            length_s = max(0.005, self.rng.expovariate(1 / length_s))
            factor = neighbours.factor if self.factors[-1] == 1.0 else 1.0
        self.starts.append(self.starts[-1] + length_s)
        self.factors.append(factor)

    def _draw_factor(self) -> float:
        return self.neighbours.factor if self.rng.random() < self.neighbours.share else 1.0
