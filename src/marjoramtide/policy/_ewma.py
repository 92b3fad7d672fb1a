"""An exponentially weighted moving average with separate weights for rising and falling."""

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class Ewma:
    """An exponentially weighted moving average.

    ``rise`` and ``fall`` are the weights (0 to 1) of a sample above and below the average. A larger
    ``rise`` gives the peak-sensitive average known as peak EWMA (Finagle's load balancers); a
    larger ``fall`` follows the low end, such as the network time within latencies that vary with
    the work. The first sample becomes the average.
    """

    rise: float
    fall: float
    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        if self.count == 1:
            self.value = sample
            return
        weight = self.rise if sample > self.value else self.fall
        self.value += weight * (sample - self.value)

    def add_mean(self, sample: float) -> None:
        """Add a sample to an arithmetic mean whose sample weight doesn't fall below ``rise``."""
        self.count += 1
        self.value += max(self.rise, 1 / self.count) * (sample - self.value)
