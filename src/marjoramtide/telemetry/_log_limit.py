"""Rate limit of log lines."""

import time
from collections import Counter
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

MAX_LINES_PER_S = 10
SUMMARY_EVENT = "log.suppressed"
SPAN_EVENT = "span"

LineKind = tuple[str, str, str]


class LogRateLimiter:
    """Passes ``MAX_LINES_PER_S`` lines a second of each event, code and step; counts the rest.

    Failure: under overload each rejected request writes a line. At a load factor of 1.5 these are
    hundreds a second; writing them takes CPU time that serving needs, and the log collector drops
    important lines. The first lines of each second show what happens, and a summary line for each
    kind shows how many were suppressed. Spans have a limit of their own.

    It is a structlog processor. A task calls ``summarise`` at intervals, so that the counts are
    also logged after a burst has ended.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.second = 0
        self.line_counts: Counter[LineKind] = Counter()
        self.suppressed_counts: Counter[LineKind] = Counter()

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        name = str(event.get("event", ""))
        if name in (SUMMARY_EVENT, SPAN_EVENT):
            return event
        second = int(self.now())
        if second != self.second:
            self.second = second
            self.line_counts.clear()
        kind = (name, str(event.get("code", "")), str(event.get("step", "")))
        self.line_counts[kind] += 1
        if self.line_counts[kind] <= MAX_LINES_PER_S:
            return event
        self.suppressed_counts[kind] += 1
        raise structlog.DropEvent

    def summarise(self, log: Any) -> None:
        """Log the number of suppressed lines of each kind since the last call."""
        suppressed_counts, self.suppressed_counts = self.suppressed_counts, Counter()
        for (name, code, step), count in suppressed_counts.items():
            log.warning(SUMMARY_EVENT, suppressed=name, code=code, step=step, peer="", count=count)
