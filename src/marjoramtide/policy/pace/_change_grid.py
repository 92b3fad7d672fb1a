"""Detection of a fixed period in the times of changes."""

import math
from collections.abc import Sequence
from itertools import accumulate, combinations, pairwise

import attrs

# The number of changes that must fit a grid. Intervals of random length fit by chance once in some
# thousands of times: each further change, known to within 25 ms, lies on a grid of 0.3 s with
# probability 0.1.
MIN_CHANGES = 5
MIN_PERIOD_S = 0.06
MAX_PERIOD_S = 5.0
# How late a read may be because of the round trip to the server.
READ_DELAY_S = 0.002

Window = tuple[float, float]
"""The earliest and latest time, in seconds, at which a change may have taken place."""


@attrs.frozen(slots=True)
class ChangeGrid:
    """The times ``origin + n * period``, in seconds, at which the slowdown may change.

    Time ``n`` may be off by ``origin_error + n * period_error``. ``origin_error`` is negative if
    the windows bound the last change more closely than the first one.
    """

    origin: float
    period: float
    origin_error: float = 0.0
    period_error: float = 0.0

    def error_at(self, time: float) -> float:
        """Return the maximum error, in seconds, of the time of the grid nearest to ``time``."""
        return self.origin_error + round((time - self.origin) / self.period) * self.period_error

    def next_after(self, now: float) -> float:
        """Return the first time of the grid after ``now``."""
        return self.origin + (math.floor((now - self.origin) / self.period) + 1) * self.period


def fit_grid(windows: Sequence[Window]) -> ChangeGrid | None:
    """Return the coarsest grid with a time in each window, ``None`` if there is none.

    The shortest interval between two changes is tried as the period, then a half and a third of it.
    Windows are used as bounds, not as estimates: the server is read around the time at which a
    change is expected, so the middles of the windows would confirm any expectation, even a wrong
    one.
    """
    if len(windows) < MIN_CHANGES:
        return None
    middles = [(earliest + latest) / 2 for earliest, latest in windows]
    shortest = min(later - earlier for earlier, later in pairwise(middles))
    for parts in (1, 2, 3):
        period = shortest / parts
        if MIN_PERIOD_S <= period <= MAX_PERIOD_S:
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
        lowest = max(lowest, (second[0] - first[1] - READ_DELAY_S) / between)
        highest = min(highest, (second[1] - first[0] + READ_DELAY_S) / between)
    if lowest > highest:
        return None
    # With shortest periods added to the earliest origin and longest ones to the latest, the bounds
    # of each change lie within its window.
    earliest = max(window[0] - step * lowest for window, step in zip(windows, steps, strict=True))
    latest = min(window[1] - step * highest for window, step in zip(windows, steps, strict=True))
    return ChangeGrid(
        origin=(earliest + latest) / 2,
        period=(lowest + highest) / 2,
        origin_error=(latest - earliest) / 2,
        period_error=(highest - lowest) / 2,
    )


def _count_steps(windows: Sequence[Window], period: float) -> list[int] | None:
    """Return the number of periods between the first change and each one.

    ``period`` is within a window's width of the true one. Short intervals are counted first, since
    each of them narrows the bounds of the period until the long ones can be counted too. The result
    is ``None`` if an interval is no multiple of the period.
    """
    width = max(latest - earliest for earliest, latest in windows) + READ_DELAY_S
    lowest, highest = period - width, period + width
    intervals = [
        (second[0] - first[1] - READ_DELAY_S, second[1] - first[0] + READ_DELAY_S)
        for first, second in pairwise(windows)
    ]
    counts = [0] * len(intervals)
    for position in sorted(range(len(intervals)), key=lambda each: intervals[each][1]):
        least, most = intervals[position]
        fewest, largest = math.ceil(least / highest), math.floor(most / lowest)
        if fewest > largest:
            return None
        count = max(1, fewest if fewest == largest else round((least + most) / (lowest + highest)))
        counts[position] = count
        if fewest == largest:
            lowest, highest = max(lowest, least / count), min(highest, most / count)
    return list(accumulate(counts, initial=0))
