"""One reduction of the concurrency limit, and whether it helped."""

import attrs

from marjoramtide.policy._ewma import Ewma

MIN_SAMPLES = 6
HELPED_BELOW = 0.75


@attrs.define(slots=True, eq=False, repr=False)
class LimitReduction:
    """How long executions took before the limit was lowered, and how long they take since.

    ``initial_limit`` is the limit before. The first ``initial_limit`` executions that end after the
    reduction are ignored, since they ran beside as many others as before.
    """

    initial_limit: float
    before_ms: float = 0.0
    completed: int = 0
    after_ms: Ewma = attrs.Factory(lambda: Ewma(0.3, 0.3))

    def add(self, duration_ms: float) -> None:
        """Record an execution that ended under the lower limit."""
        self.completed += 1
        if self.completed > self.initial_limit:
            self.after_ms.add(duration_ms)

    def has_enough_samples(self) -> bool:
        return self.after_ms.count >= MIN_SAMPLES

    def has_helped(self) -> bool:
        """Tell whether executions became clearly faster."""
        return self.after_ms.value < HELPED_BELOW * self.before_ms
