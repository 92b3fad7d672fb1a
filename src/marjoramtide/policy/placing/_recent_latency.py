"""Quantiles of the latencies seen most recently."""

import attrs

WINDOW = 256
ENOUGH = 20
SORT_EVERY = 16


@attrs.define(slots=True, eq=False, repr=False)
class RecentLatency:
    """The last few hundred latencies in milliseconds, sorted anew every ``SORT_EVERY`` samples.

    Sorting rarely keeps the cost of a sample near one microsecond; a quantile is then at most
    ``SORT_EVERY`` samples old. ``median`` is known from the first sample on.
    """

    samples: list[float] = attrs.Factory(list)
    ordered: list[float] = attrs.Factory(list)
    position: int = 0
    median: float | None = None

    def add(self, latency_ms: float) -> None:
        """Take in one latency, in place of the oldest where the window is full."""
        if len(self.samples) < WINDOW:
            self.samples.append(latency_ms)
        else:
            self.samples[self.position % WINDOW] = latency_ms
        self.position += 1
        if self.position % SORT_EVERY == 0 or len(self.samples) <= SORT_EVERY:
            self.ordered = sorted(self.samples)
            self.median = self.ordered[len(self.ordered) // 2]

    def quantile(self, share: float) -> float | None:
        """Return the latency that ``share`` of the samples don't exceed, if there are enough."""
        if len(self.samples) < ENOUGH:
            return None
        return self.ordered[min(len(self.ordered) - 1, int(share * len(self.ordered)))]
