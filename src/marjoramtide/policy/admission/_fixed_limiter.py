"""A constant concurrency limit."""

import attrs

from marjoramtide.policy.admission._concurrency_limiter import ConcurrencyLimiter


@attrs.define(slots=True, eq=False, repr=False)
class FixedLimiter(ConcurrencyLimiter):
    """Runs as many requests concurrently as the backend server has slots."""

    slots: int

    @property
    def limit(self) -> int:
        return max(1, self.slots)

    def fresh(self) -> ConcurrencyLimiter:
        return self

    def observe(
        self, duration_ms: float, limit_used: bool, succeeded: bool, running: int = 1
    ) -> None:
        """Ignore the execution."""
