"""A client-side rate limit for calls to the store."""

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError

MIN_HALVING_INTERVAL_S = 0.1
MIN_RATE_SHARE = 1 / 64
RECOVERY_S = 20.0


class CallBudget:
    """A token bucket whose rate adapts to the store's rate limit.

    The store's limits apply to the whole fleet and no node knows the others' rates, so each node
    halves its own rate on a 429 response and recovers to ``max_rate_per_s`` linearly over
    ``RECOVERY_S``: additive increase, multiplicative decrease (Chiu and Jain, 1989). Several 429
    responses within ``MIN_HALVING_INTERVAL_S`` halve the rate once.
    """

    def __init__(self, clock: Clock, max_rate_per_s: float, burst: float) -> None:
        self.clock = clock
        self.max_rate_per_s = max_rate_per_s
        self.burst = burst
        self.rate_per_s = max_rate_per_s
        self.tokens = burst
        self.refilled_at = clock.monotonic()
        self.rate_halved_at = -MIN_HALVING_INTERVAL_S

    async def take(self, deadline: float, step: str) -> None:
        """Wait for a token.

        Raises ``store-throttled`` immediately if no token becomes available before ``deadline``, in
        seconds of the monotonic clock. Waiters are served in order, since each one reserves its
        token in advance.
        """
        now = self.refill()
        wait_s = max(0.0, (1 - self.tokens) / self.rate_per_s)
        if now + wait_s > deadline:
            raise MarjoramtideError(
                ErrorCode.STORE_THROTTLED,
                f"client-side limit of {self.rate_per_s:.1f} calls per second reached",
                step=step,
                retry_after_ms=int(wait_s * 1000),
            )
        self.tokens -= 1
        if wait_s:
            await self.clock.sleep(wait_s)

    def on_throttled(self) -> None:
        """Halve the rate after a 429 response."""
        now = self.refill()
        if now - self.rate_halved_at < MIN_HALVING_INTERVAL_S:
            return
        self.rate_halved_at = now
        self.rate_per_s = max(self.rate_per_s / 2, self.max_rate_per_s * MIN_RATE_SHARE)
        self.tokens = min(self.tokens, 0.0)

    def refill(self) -> float:
        now = self.clock.monotonic()
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.rate_per_s = min(
            self.max_rate_per_s, self.rate_per_s + elapsed_s * self.max_rate_per_s / RECOVERY_S
        )
        return now
