"""A budget that refills with time."""

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class TokenBucket:
    """Allows ``rate`` units a second on average and ``burst`` at once."""

    rate: float
    burst: float
    level: float = 0.0
    updated: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.level = self.burst

    def take(self, amount: float, now: float) -> bool:
        """Take ``amount`` if the budget holds it."""
        self.level = min(self.burst, self.level + max(0.0, now - self.updated) * self.rate)
        self.updated = now
        if amount > self.level:
            return False
        self.level -= amount
        return True
