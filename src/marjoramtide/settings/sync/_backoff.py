"""Waits between attempts."""

import random
from collections.abc import Iterator


def backoff(rng: random.Random, first_s: float = 0.1, most_s: float = 2.0) -> Iterator[float]:
    """Yield seconds to wait before each next attempt: doubling, spread over the upper half.

    The spread keeps the nodes of a fleet from coming back to a recovering store all at once.
    """
    ceiling = first_s
    while True:
        yield ceiling * (0.5 + rng.random() / 2)
        ceiling = min(most_s, ceiling * 2)
