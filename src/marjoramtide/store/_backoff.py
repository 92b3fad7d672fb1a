"""Pauses between tries."""

import random

FIRST_S = 0.02
LONGEST_S = 1.0


def full_jitter(attempt: int, rng: random.Random) -> float:
    """Return the pause in seconds after try number ``attempt``, counted from 1.

    Drawn evenly from zero to a bound that doubles ("full jitter", Brooker, 2015): callers that
    failed together come back spread out.
    """
    return rng.uniform(0, min(LONGEST_S, FIRST_S * 2**attempt))
