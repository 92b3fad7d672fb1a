"""Compares the outcomes that callers saw with the executions on the backend servers."""

from collections import Counter
from collections.abc import Iterable

import attrs

from bench.load._attempt import Attempt
from bench.load._outcome import Outcome
from bench.load._result import CallResult
from bench.load._stand_in_report import StandInReport


@attrs.frozen(slots=True)
class Audit:
    """Violated guarantees, by request id or key, and wasted work.

    * ``duplicates``: non-idempotent requests that ran more than once
    * ``false_not_run``: requests that ran and were reported to their caller as not run
    * ``wrong``: successful responses that are incomplete or belong to another request
    * ``unrun``: requests that were reported as completed and never ran

    ``wasted`` is the number of executions without a completed attempt.
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
    """Compare results with the executions on all backend servers."""
    calls, all_reports = list(results), list(reports)
    by_request = sum((report.requests for report in all_reports), Counter[str]())
    by_key = sum((report.keys for report in all_reports), Counter[str]())
    attempts = [attempt for result in calls for attempt in result.attempts]
    # Each attempt has its own request id, and all attempts of a call share its key. Duplicates are
    # therefore found by key if the call has one, else by the request id of each attempt.
    non_idempotent = [result for result in calls if not result.call.idempotent]
    duplicate_keys = {result.call.key for result in non_idempotent if by_key[result.call.key] > 1}
    duplicate_ids = {
        attempt.request_id
        for result in non_idempotent
        for attempt in result.attempts
        if not result.call.key and by_request[attempt.request_id] > 1
    }
    executions = by_request.total()
    return Audit(
        duplicates=tuple(sorted(duplicate_keys | duplicate_ids)),
        false_not_run=sorted_request_ids(
            attempt
            for attempt in attempts
            if attempt.outcome in (Outcome.NOT_RUN, Outcome.UNREACHABLE)
            and by_request[attempt.request_id]
        ),
        wrong=sorted_request_ids(
            attempt for attempt in attempts if attempt.outcome is Outcome.WRONG
        ),
        unrun=sorted_request_ids(
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


def sorted_request_ids(attempts: Iterable[Attempt]) -> tuple[str, ...]:
    """Return the request ids of ``attempts``, sorted."""
    return tuple(sorted(attempt.request_id for attempt in attempts))
