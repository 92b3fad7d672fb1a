"""Times at which something may change, where these follow each other at a fixed distance."""

import math
from collections.abc import Sequence
from itertools import accumulate, combinations, pairwise

import attrs

# Changes that must fit before a grid is believed. Stretches of random length pass by chance once in
# some thousands of times: each further change, known to within 25 ms, lies on a grid of 0.3 s with
# probability 0.1.
CHANGES_NEEDED = 5
SHORTEST_S = 0.06
LONGEST_S = 5.0
# What a look may be late by, in seconds, on the way to the server and back.
SLACK_S = 0.002

Window = tuple[float, float]
"""The times, in seconds, between which a change took place."""


@attrs.frozen(slots=True)
class ChangeGrid:
    """Times ``origin + n * period``, in seconds, from the last known change on.

    Time ``n`` may be off by ``origin_error + n * period_error``. The first of these is negative
    where the windows narrow the last change down better than the first.
    """

    origin: float
    period: float
    origin_error: float = 0.0
    period_error: float = 0.0

    def error_at(self, time: float) -> float:
        """Return by how many seconds the grid's time nearest to ``time`` may be off."""
        return self.origin_error + round((time - self.origin) / self.period) * self.period_error

    def next_after(self, now: float) -> float:
        """Return the first time of the grid after ``now``."""
        return self.origin + (math.floor((now - self.origin) / self.period) + 1) * self.period


def fit_grid(windows: Sequence[Window]) -> ChangeGrid | None:
    """Return the coarsest grid with a time in each window, ``None`` where there is none.

    The shortest distance between two changes is tried as the period, then a half and a third of
    it. Windows are bounds, not estimates: looks are placed around where a change is expected, so
    the middles of their windows would confirm any expectation, however wrong.
    """
    if len(windows) < CHANGES_NEEDED:
        return None
    middles = [(earliest + latest) / 2 for earliest, latest in windows]
    shortest = min(later - earlier for earlier, later in pairwise(middles))
    for parts in (1, 2, 3):
        period = shortest / parts
        if SHORTEST_S <= period <= LONGEST_S:
            grid = _fit(windows, middles, period)
            if grid is not None:
                return grid
    return None


def _fit(windows: Sequence[Window], middles: Sequence[float], period: float) -> ChangeGrid | None:
    steps = _count_steps(windows, period)
    if steps is None:
        return None
    lowest, highest = 0.0, math.inf
    for (first, first_step), (second, second_step) in combinations(
        zip(windows, steps, strict=True), 2
    ):
        between = second_step - first_step
        lowest = max(lowest, (second[0] - first[1] - SLACK_S) / between)
        highest = min(highest, (second[1] - first[0] + SLACK_S) / between)
    if lowest > highest:
        return None
    # Time n lies after each window's begin and as many shortest periods as there are between, and
    # before each window's end and as many longest ones.
    earliest = max(window[0] - step * lowest for window, step in zip(windows, steps, strict=True))
    latest = min(window[1] - step * highest for window, step in zip(windows, steps, strict=True))
    return ChangeGrid(
        origin=(earliest + latest) / 2,
        period=(lowest + highest) / 2,
        origin_error=(latest - earliest) / 2,
        period_error=(highest - lowest) / 2,
    )


def _count_steps(windows: Sequence[Window], period: float) -> list[int] | None:
    """Return how many periods after the first change each one took place.

    ``period`` is within a window's width of the true one. Short distances are counted first, since
    each narrows the period down until the long ones can be counted too; ``None`` where a distance
    is no multiple of it.
    """
    width = max(latest - earliest for earliest, latest in windows) + SLACK_S
    lowest, highest = period - width, period + width
    distances = [
        (second[0] - first[1] - SLACK_S, second[1] - first[0] + SLACK_S)
        for first, second in pairwise(windows)
    ]
    counts = [0] * len(distances)
    for position in sorted(range(len(distances)), key=lambda each: distances[each][1]):
        least, most = distances[position]
        fewest, largest = math.ceil(least / highest), math.floor(most / lowest)
        if fewest > largest:
            return None
        count = max(1, fewest if fewest == largest else round((least + most) / (lowest + highest)))
        counts[position] = count
        if fewest == largest:
            lowest, highest = max(lowest, least / count), min(highest, most / count)
    return list(accumulate(counts, initial=0))
