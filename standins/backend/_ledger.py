"""Execution counters of a backend server stand-in."""

from collections import Counter

import attrs


@attrs.define(slots=True)
class Ledger:
    """Executions by request id and by idempotency key, and other counters.

    An execution counts from its start, whether or not its caller disconnects.
    ``last_run_after_drain_s`` is the time from the start of a drain to the last execution's start.
    """

    requests: Counter[str] = attrs.field(factory=Counter)
    keys: Counter[str] = attrs.field(factory=Counter)
    executions: int = 0
    cancels: int = 0
    refusals: int = 0
    health_reads: int = 0
    load_reads: int = 0
    connections_opened: int = 0
    peak: int = 0
    busy_s: float = 0.0
    last_run_after_drain_s: float = 0.0

    def record_execution(self, request_id: str, key: str) -> None:
        """Count an execution; an empty request id or key has no counter of its own."""
        self.executions += 1
        if request_id:
            self.requests[request_id] += 1
        if key:
            self.keys[key] += 1
