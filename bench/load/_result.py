"""What became of a planned call."""

import attrs

from bench.load._attempt import Attempt
from bench.load._outcome import Outcome
from bench.load._planned_call import PlannedCall

ANSWER_GRACE_MS = 50  # an answer given at the deadline still has to reach the caller


@attrs.frozen(slots=True)
class CallResult:
    """The attempts of one call.

    ``latency_ms`` counts from the planned time to the last answer, so that a stall of the server,
    or of the load tool itself, shows in full (no coordinated omission). ``send_lag_ms`` is how late
    the load tool sent the first attempt.
    """

    call: PlannedCall
    attempts: tuple[Attempt, ...]
    latency_ms: float
    send_lag_ms: float

    @property
    def outcome(self) -> Outcome:
        return self.attempts[-1].outcome

    @property
    def missed_deadline(self) -> bool:
        """Tell whether an attempt completed after its deadline, or had no answer soon after it.

        Each attempt brings a deadline of its own; the first one counts from the planned time.
        """
        late_by = [attempt.elapsed_ms - self.call.timeout_ms for attempt in self.attempts]
        late_by[0] += self.send_lag_ms
        return any(
            late > (0 if attempt.outcome is Outcome.COMPLETED else ANSWER_GRACE_MS)
            for late, attempt in zip(late_by, self.attempts, strict=True)
        )
