"""Quantiles of the most recent latencies."""

import attrs

WINDOW_SIZE = 256
MIN_SAMPLES = 20
SORT_INTERVAL = 16


@attrs.define(slots=True, eq=False, repr=False)
class RecentLatency:
    """The last ``WINDOW_SIZE`` latencies in milliseconds, sorted every ``SORT_INTERVAL`` samples.

    Sorting rarely keeps the cost of a sample near one microsecond; a quantile is then at most
    ``SORT_INTERVAL`` samples old. ``median`` is available from the first sample on.
    """

    samples: list[float] = attrs.Factory(list)
    ordered: list[float] = attrs.Factory(list)
    position: int = 0
    median: float | None = None

    def add(self, latency_ms: float) -> None:
        """Add a latency; it replaces the oldest one when the window is full."""
        if len(self.samples) < WINDOW_SIZE:
            self.samples.append(latency_ms)
        else:
            self.samples[self.position % WINDOW_SIZE] = latency_ms
        self.position += 1
        if self.position % SORT_INTERVAL == 0 or len(self.samples) <= SORT_INTERVAL:
            self.ordered = sorted(self.samples)
            self.median = self.ordered[len(self.ordered) // 2]

    def quantile(self, share: float) -> float | None:
        """Return the latency that ``share`` of the samples don't exceed.

        The result is ``None`` while there are fewer than ``MIN_SAMPLES``.
        """
        if len(self.samples) < MIN_SAMPLES:
            return None
        return self.ordered[min(len(self.ordered) - 1, int(share * len(self.ordered)))]
