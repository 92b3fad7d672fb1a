"""One cut of the concurrency limit, and whether it helped."""

import attrs

from marjoramtide.policy._ewma import Ewma

ENOUGH_SAMPLES = 6
CURED_BELOW = 0.75


@attrs.define(slots=True, eq=False, repr=False)
class Cut:
    """How long executions took before a cut and how long they take after it.

    ``began_at`` is the limit before. The first ``began_at`` executions that end after the cut don't
    count, since they ran beside as many others as before.
    """

    began_at: float
    before_ms: float = 0.0
    ended: int = 0
    after: Ewma = attrs.Factory(lambda: Ewma(0.3, 0.3))

    def note(self, duration_ms: float) -> None:
        """Take in an execution that ended under the lower limit."""
        self.ended += 1
        if self.ended > self.began_at:
            self.after.add(duration_ms)

    def is_judged(self) -> bool:
        return self.after.count >= ENOUGH_SAMPLES

    def has_cured(self) -> bool:
        """Tell whether executions became clearly quicker."""
        return self.after.value < CURED_BELOW * self.before_ms
