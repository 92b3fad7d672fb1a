"""A token bucket."""

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class TokenBucket:
    """Allows ``rate`` tokens a second on average and ``burst`` at once.

    Times are in seconds of the monotonic clock. The bucket starts full, unless another ``level`` is
    set, which may be below 0.
    """

    rate: float
    burst: float
    level: float = attrs.field()
    updated: float = 0.0

    @level.default
    def _full(self) -> float:
        return self.burst

    def refill(self, now: float) -> float:
        """Refill the bucket and return its level."""
        self.level = min(self.burst, self.level + max(0.0, now - self.updated) * self.rate)
        self.updated = now
        return self.level

    def take(self, amount: float, now: float) -> bool:
        """Take ``amount`` tokens if the bucket holds them."""
        if amount > self.refill(now):
            return False
        self.level -= amount
        return True

    def spend(self, amount: float, now: float) -> None:
        """Take ``amount`` tokens even if the bucket doesn't hold them."""
        self.refill(now)
        self.level -= amount

    def wait_s(self, amount: float, now: float) -> float:
        """Return after how many seconds ``amount`` tokens, even above ``burst``, are refilled."""
        return max(0.0, amount - self.refill(now)) / self.rate
