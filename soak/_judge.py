"""Holds the answers that callers got against the servers' record of runs."""

import itertools
from collections.abc import Iterable

import attrs

from soak._records import CallerRecord, ServerRecord

# Statuses by which a node promises that the request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))


@attrs.frozen(slots=True)
class Violation:
    """A request for which a promise was broken, with all that servers recorded of it."""

    promise: str
    caller: CallerRecord
    events: tuple[ServerRecord, ...]

    def lines(self, started_at: float) -> list[str]:
        """Return the story of the request, in seconds from ``started_at``."""
        each = self.caller
        first = (
            f"{self.promise}: {each.attempt} {each.kind} by node {each.node}, sent "
            f"{each.sent_at - started_at:.3f} s, status {each.answer.status} "
            f"{each.ended_at - started_at:.3f} s {each.answer.text!r}"
        )
        return [first] + [
            f"    {event.at - started_at:.3f} s  {event.instance} {event.event} {event.detail}"
            for event in self.events
        ]


def judge(callers: Iterable[CallerRecord], servers: Iterable[ServerRecord]) -> list[Violation]:
    """Return the violations: refused and ran, ran twice, and answers that are not one's own.

    A lookup that was refused and had run is harmless, but its caller was not told the truth.
    """
    by_attempt: dict[str, tuple[ServerRecord, ...]] = {
        attempt: tuple(events)
        for attempt, events in itertools.groupby(
            sorted(servers, key=lambda event: (event.attempt, event.at)),
            key=lambda event: event.attempt,
        )
    }
    return [
        Violation(promise, caller, by_attempt.get(caller.attempt, ()))
        for caller in callers
        for promise in broken_promises(caller, by_attempt.get(caller.attempt, ()))
    ]


def broken_promises(caller: CallerRecord, events: tuple[ServerRecord, ...]) -> list[str]:
    """Return the names of the promises that were broken for one request."""
    answer = caller.answer
    runs = sum(event.event == "run" for event in events)
    broken = []
    if runs and answer.status in PROMISES:
        broken.append("UNTRUE" if caller.idempotent else "REFUSED")
    if not caller.idempotent and runs > 1:
        broken.append("TWICE")
    if 200 <= answer.status < 300 and answer.is_whole and not answer.is_own:
        broken.append("MIXED")
    return broken
