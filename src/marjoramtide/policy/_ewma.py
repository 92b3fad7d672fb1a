"""An exponentially weighted mean that may rise and fall at different speeds."""

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class Ewma:
    """A running mean of samples.

    ``rise`` and ``fall`` are the weights (0 to 1) of a sample above and below the mean. A larger
    ``rise`` is the peak-sensitive mean known as peak EWMA (Finagle's load balancers); a larger
    ``fall`` follows the low end, such as a network round trip seen through varying work. The first
    sample is taken as it is.
    """

    rise: float
    fall: float
    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Take in one sample."""
        self.count += 1
        if self.count == 1:
            self.value = sample
            return
        weight = self.rise if sample > self.value else self.fall
        self.value += weight * (sample - self.value)

    def add_mean(self, sample: float) -> None:
        """Take in one sample as of a plain mean, until its weight would be below ``rise``."""
        self.count += 1
        self.value += max(self.rise, 1 / self.count) * (sample - self.value)
