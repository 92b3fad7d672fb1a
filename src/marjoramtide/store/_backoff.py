"""Pauses between attempts."""

import random

BASE_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0


def full_jitter(attempt: int, rng: random.Random) -> float:
    """Return the pause in seconds after attempt number ``attempt``, counted from 1.

    It is uniform between zero and an exponentially growing bound ("full jitter", Brooker, 2015), so
    that callers that failed together do not retry together.
    """
    return rng.uniform(0, min(MAX_PAUSE_S, BASE_PAUSE_S * 2**attempt))
