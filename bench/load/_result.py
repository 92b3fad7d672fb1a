"""Results of planned calls."""

import attrs

from bench.load._attempt import Attempt
from bench.load._outcome import Outcome
from bench.load._planned_call import PlannedCall

RESPONSE_GRACE_MS = 50  # transfer time of a response sent at the deadline


@attrs.frozen(slots=True)
class CallResult:
    """The attempts of one call.

    ``latency_ms`` counts from the planned time to the last response, so that it includes stalls of
    the server and of the load tool itself (no coordinated omission). ``send_lag_ms`` is the delay
    with which the load tool sent the first attempt.
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
        """Tell whether an attempt ended after its deadline, with a grace time if not completed.

        Each attempt has its own deadline; that of the first one counts from the planned time.
        """
        late_by = [attempt.elapsed_ms - self.call.timeout_ms for attempt in self.attempts]
        late_by[0] += self.send_lag_ms
        return any(
            late > (0 if attempt.outcome is Outcome.COMPLETED else RESPONSE_GRACE_MS)
            for late, attempt in zip(late_by, self.attempts, strict=True)
        )
