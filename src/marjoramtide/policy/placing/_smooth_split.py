"""Sharing requests out by weight."""

import random
from collections.abc import Sequence

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class SmoothSplit:
    """Draws parts so that each gets its share of any run of requests, not only of very long ones.

    Smooth weighted round robin, as proxies commonly use it: each draw adds every weight to its
    part's credit and takes the sum from the part with the most. After as many draws as the weights
    add up to, each part has exactly its share, where random draws of 1 in 10 are off by a third
    over a hundred requests. Nodes begin at different places of the round, so that a quiet fleet
    does not send all its first requests to the heaviest part.
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
    """Return a split that begins at a random place of its round, or at its start without ``rng``.

    For example, ``make_smooth_split([("a", 3), ("b", 1)])`` draws a, a, b, a.
    """
    weighted = [(name, weight) for name, weight in parts if weight > 0]
    split = SmoothSplit(weighted, [0.0] * len(weighted))
    if rng is not None:
        for _ in range(rng.randrange(sum(weight for _, weight in weighted) % 1000 or 1)):
            split.draw()
    return split
