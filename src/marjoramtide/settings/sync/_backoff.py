"""Exponential backoff with jitter."""

import random
from collections.abc import Iterator


def backoff(rng: random.Random, first_s: float = 0.1, max_s: float = 2.0) -> Iterator[float]:
    """Yield the delays in seconds between attempts: doubling, with jitter over the upper half.

    The jitter keeps the nodes of a fleet from all returning to a recovering store at the same time.
    """
    ceiling = first_s
    while True:
        yield ceiling * (0.5 + rng.random() / 2)
        ceiling = min(max_s, ceiling * 2)
