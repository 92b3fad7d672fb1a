"""How long a request takes once it has a slot."""

import math
import random

from standins.backend._faults import Faults

SPREAD = 0.3  # sigma of the lognormal: p99 is about twice the median


class ServiceTime:
    """Draws seeded service times around a median and applies the faults that lengthen them."""

    def __init__(self, median_ms: float, seed: int) -> None:
        self.median_ms = median_ms
        self.seed = seed
        self.random = random.Random(seed)

    def draw_s(self, faults: Faults, now: float, cold_since: float, own_ms: float | None) -> float:
        """Return seconds for a request begun at ``now`` (seconds of a monotonic clock)."""
        median = self.median_ms if own_ms is None else own_ms
        work = median / 1000 * math.exp(self.random.gauss(0.0, SPREAD)) * faults.slow_factor
        age = now - cold_since
        if age < faults.cold_start_s:
            work *= 1 + (faults.cold_factor - 1) * (1 - age / faults.cold_start_s)
        return work if faults.noise_factor <= 1 else self.under_noise_s(work, faults, now)

    def under_noise_s(self, work: float, faults: Faults, now: float) -> float:
        """Return how long ``work`` seconds take where neighbours slow some of the steps."""
        step = faults.noise_step_ms / 1000
        at, left = now, work
        while left > 1e-9:
            index = math.floor(at / step + 1e-9)
            slowed = random.Random(self.seed * 1_000_003 + index).random() < faults.noise_share
            factor = faults.noise_factor if slowed else 1.0
            span = min((index + 1) * step - at, left * factor)
            left -= span / factor
            at += span
        return at - now
