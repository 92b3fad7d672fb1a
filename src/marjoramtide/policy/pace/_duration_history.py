"""Durations of past intervals, and an estimate for the one that is in progress."""

from collections import deque

import attrs

# Enough durations to tell short intervals from long ones, and few enough to adapt to a neighbour
# that behaves differently within some intervals.
MAX_DURATIONS = 24


@attrs.define(slots=True, eq=False, repr=False)
class DurationHistory:
    """The durations in seconds of the latest intervals, such as the slow ones of a server."""

    durations_s: deque[float] = attrs.Factory(lambda: deque(maxlen=MAX_DURATIONS))

    def add(self, duration_s: float) -> None:
        """Add the duration of an interval that has ended."""
        self.durations_s.append(duration_s)

    def remaining_s(self, elapsed_s: float) -> float:
        """Return for how many more seconds an interval that began ``elapsed_s`` ago should last.

        This is the mean of the remainders of the known intervals that lasted longer and of one that
        lasts as long again as it has lasted so far. Without the latter a server that turns slow for
        good, for longer than any known interval, would be waited for indefinitely. With it, a
        request without any history waits as long as the work would lose, so it never loses more
        than twice that (the ski rental problem).
        """
        longer = [duration - elapsed_s for duration in self.durations_s if duration > elapsed_s]
        return (sum(longer) + elapsed_s) / (len(longer) + 1)

    @property
    def mean_s(self) -> float:
        """Return the mean duration, 0 while there is none."""
        return sum(self.durations_s) / len(self.durations_s) if self.durations_s else 0.0
