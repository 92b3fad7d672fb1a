"""What a backend server stand-in has run."""

from collections import Counter

import attrs


@attrs.define(slots=True)
class Ledger:
    """Counts executions by request id and by idempotency key, and the rest of the statistics.

    An execution counts from its begin: a caller that goes away does not undo it.
    ``last_run_after_drain_s`` is how long after the begin of a drain the last one began.
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

    def began(self, request_id: str, key: str) -> None:
        """Count an execution; empty names are not counted by name."""
        self.executions += 1
        if request_id:
            self.requests[request_id] += 1
        if key:
            self.keys[key] += 1
