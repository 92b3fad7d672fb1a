"""Rate limits of the object store stand-in."""

import time


class CallRateLimiter:
    """A token bucket that holds a tenth of a second of calls."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.burst = max(1.0, per_s / 10)
        self.tokens = self.burst
        self.refilled_at = time.monotonic()

    def take(self) -> bool:
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.per_s)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
