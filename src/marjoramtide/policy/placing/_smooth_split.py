"""Weighted distribution of requests."""

import random
from collections.abc import Sequence

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class SmoothSplit:
    """Smooth weighted round robin, which keeps to the weights in short runs of requests too.

    Each draw adds every weight to its part's credit and subtracts the sum of the weights from the
    part with the most credit. After as many draws as the weights add up to, each part has exactly
    its share, while random draws of 1 in 10 are off by a third over a hundred requests. Nodes start
    at different positions of the cycle, so that at a low rate they don't all send their first
    requests to the part with the largest weight.
    """

    parts: Sequence[tuple[str, int]]
    credits: list[float]

    def draw(self) -> str:
        """Return the name of the next part."""
        total = 0
        best = 0
        for position, (_, weight) in enumerate(self.parts):
            self.credits[position] += weight
            total += weight
            if self.credits[position] > self.credits[best]:
                best = position
        self.credits[best] -= total
        return self.parts[best][0]


def make_smooth_split(
    parts: Sequence[tuple[str, int]], rng: random.Random | None = None
) -> SmoothSplit:
    """Return a split at a random position of its cycle, or at the start without ``rng``.

    For example, ``make_smooth_split([("a", 3), ("b", 1)])`` draws a, a, b, a.
    """
    weighted = [(name, weight) for name, weight in parts if weight > 0]
    split = SmoothSplit(weighted, [0.0] * len(weighted))
    if rng is not None:
        for _ in range(rng.randrange(sum(weight for _, weight in weighted) % 1000 or 1)):
            split.draw()
    return split
