"""The rate limits of the stand-in."""

import time


class Rate:
    """A token bucket over one tenth of a second of calls."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.burst = max(1.0, per_s / 10)
        self.tokens = self.burst
        self.at = time.monotonic()

    def take(self) -> bool:
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.per_s)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
