"""Holds what callers were told against what the backend servers ran."""

from collections import Counter
from collections.abc import Iterable

import attrs

from bench.load._attempt import Attempt
from bench.load._outcome import Outcome
from bench.load._result import CallResult
from bench.load._stand_in_report import StandInReport


@attrs.frozen(slots=True)
class Audit:
    """Promises broken, by request id or key, and work spent in vain.

    ``duplicates`` are non-idempotent actions that ran more than once, ``false_not_run`` requests
    that ran although their caller was told they did not, ``wrong`` answers that were passed off as
    whole and were not the caller's own, ``unrun`` requests reported as completed that never ran.
    ``wasted`` counts executions that no completed attempt has to show for.
    """

    duplicates: tuple[str, ...]
    false_not_run: tuple[str, ...]
    wrong: tuple[str, ...]
    unrun: tuple[str, ...]
    executions: int
    wasted: int

    @property
    def is_clean(self) -> bool:
        return not (self.duplicates or self.false_not_run or self.wrong or self.unrun)


def audit(results: Iterable[CallResult], reports: Iterable[StandInReport]) -> Audit:
    """Compare results with the executions counted by all the backend servers together."""
    calls, asked = list(results), list(reports)
    by_request = sum((report.requests for report in asked), Counter[str]())
    by_key = sum((report.keys for report in asked), Counter[str]())
    attempts = [attempt for result in calls for attempt in result.attempts]
    # Each attempt has a request id of its own. So a call with a key is judged by the key, which
    # all of its attempts share; one without, by the request id of each attempt.
    unsafe = [result for result in calls if not result.call.idempotent]
    doubled_keys = {result.call.key for result in unsafe if by_key[result.call.key] > 1}
    doubled_ids = {
        attempt.request_id
        for result in unsafe
        for attempt in result.attempts
        if not result.call.key and by_request[attempt.request_id] > 1
    }
    executions = by_request.total()
    return Audit(
        duplicates=tuple(sorted(doubled_keys | doubled_ids)),
        false_not_run=ids(
            attempt
            for attempt in attempts
            if attempt.outcome in (Outcome.NOT_RUN, Outcome.UNREACHABLE)
            and by_request[attempt.request_id]
        ),
        wrong=ids(attempt for attempt in attempts if attempt.outcome is Outcome.WRONG),
        unrun=ids(
            attempt
            for attempt in attempts
            if attempt.outcome is Outcome.COMPLETED
            and not attempt.replayed
            and not by_request[attempt.request_id]
        )
        + tuple(
            result.call.key
            for result in calls
            if result.attempts[-1].replayed and not by_key[result.call.key]
        ),
        executions=executions,
        wasted=executions - sum(attempt.outcome is Outcome.COMPLETED for attempt in attempts),
    )


def ids(attempts: Iterable[Attempt]) -> tuple[str, ...]:
    """Return the request ids of ``attempts``, sorted."""
    return tuple(sorted(attempt.request_id for attempt in attempts))
