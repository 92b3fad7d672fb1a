"""A bound on how many lines a node writes."""

import time
from collections import Counter
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

LINES_PER_S = 10
SUMMARY = "log.suppressed"
SPAN = "span"

Kind = tuple[str, str, str]


class LogLimit:
    """Lets through ``LINES_PER_S`` lines a second of each event and code, and counts the rest.

    Failure: under overload each refused request writes a line. At 1.5 times the load these are
    hundreds a second; writing them takes the processor time that serving needs, and whoever
    collects them drops lines that matter. The first lines of each second tell what happens, and
    one line for each kind and second tells how often more. Spans have a bound of their own.

    It is a structlog processor; a task calls ``summarise`` now and then, so that counts are told
    also when a flood has ended.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.second = 0
        self.written: Counter[Kind] = Counter()
        self.held: Counter[Kind] = Counter()

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        name = str(event.get("event", ""))
        if name in (SUMMARY, SPAN):
            return event
        second = int(self.now())
        if second != self.second:
            self.second = second
            self.written.clear()
        kind = (name, str(event.get("code", "")), str(event.get("step", "")))
        self.written[kind] += 1
        if self.written[kind] <= LINES_PER_S:
            return event
        self.held[kind] += 1
        raise structlog.DropEvent

    def summarise(self, log: Any) -> None:
        """Write one line for each kind of line that was held back since the last call."""
        held, self.held = self.held, Counter()
        for (name, code, step), count in held.items():
            log.warning(SUMMARY, suppressed=name, code=code, step=step, peer="", count=count)
