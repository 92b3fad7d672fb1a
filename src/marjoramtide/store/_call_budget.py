"""How many calls a node may make to the store."""

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError

HALVING_INTERVAL_S = 0.1
LOWEST_SHARE = 1 / 64
RECOVERY_S = 20.0


class CallBudget:
    """A token bucket whose rate gives way to the store's own limit.

    The store's limits hold for the whole fleet and no node knows the others' rates, so each halves
    its own when the store says 429 and takes ``per_s`` back evenly over ``RECOVERY_S``: additive
    increase, multiplicative decrease (Chiu and Jain, 1989). Refusals that come together count once.
    """

    def __init__(self, clock: Clock, per_s: float, burst: float) -> None:
        self.clock = clock
        self.per_s = per_s
        self.burst = burst
        self.rate = per_s
        self.tokens = burst
        self.at = clock.monotonic()
        self.halved_at = -HALVING_INTERVAL_S

    async def take(self, deadline: float, step: str) -> None:
        """Wait for a token.

        Raises ``store-throttled`` at once where none comes before ``deadline``, which is in seconds
        of the monotonic clock. Tokens are handed out in the order of asking, since each waiter
        takes its token in advance.
        """
        now = self.refill()
        wait = max(0.0, (1 - self.tokens) / self.rate)
        if now + wait > deadline:
            raise MarjoramtideError(
                ErrorCode.STORE_THROTTLED,
                f"own budget of {self.rate:.1f} calls a second is used up",
                step=step,
                retry_after_ms=int(wait * 1000),
            )
        self.tokens -= 1
        if wait:
            await self.clock.sleep(wait)

    def throttled(self) -> None:
        """Halve the rate after the store refused a call as too many."""
        now = self.refill()
        if now - self.halved_at < HALVING_INTERVAL_S:
            return
        self.halved_at = now
        self.rate = max(self.rate / 2, self.per_s * LOWEST_SHARE)
        self.tokens = min(self.tokens, 0.0)

    def refill(self) -> float:
        now = self.clock.monotonic()
        passed = max(0.0, now - self.at)
        self.at = now
        self.tokens = min(self.burst, self.tokens + passed * self.rate)
        self.rate = min(self.per_s, self.rate + passed * self.per_s / RECOVERY_S)
        return now
