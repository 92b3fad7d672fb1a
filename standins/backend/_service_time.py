"""Service times of requests, from the moment they hold a slot."""

import math
import random

from standins.backend._faults import Faults

LOGNORMAL_SIGMA = 0.3  # p99 is about twice the median


class ServiceTime:
    """Draws service times from a seeded lognormal distribution and applies slowdown faults."""

    def __init__(self, median_ms: float, seed: int) -> None:
        self.median_ms = median_ms
        self.seed = seed
        self.random = random.Random(seed)

    def draw_s(
        self, faults: Faults, now: float, cold_since: float, requested_ms: float | None
    ) -> float:
        """Return the seconds for a request that starts at ``now``, in monotonic seconds."""
        median = self.median_ms if requested_ms is None else requested_ms
        work = (
            median / 1000 * math.exp(self.random.gauss(0.0, LOGNORMAL_SIGMA)) * faults.slow_factor
        )
        age = now - cold_since
        if age < faults.cold_start_s:
            work *= 1 + (faults.cold_factor - 1) * (1 - age / faults.cold_start_s)
        return work if faults.noise_factor <= 1 else self.duration_with_noise_s(work, faults, now)

    def duration_with_noise_s(self, work: float, faults: Faults, now: float) -> float:
        """Return how long ``work`` seconds take if neighbours slow down some of the time steps."""
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
