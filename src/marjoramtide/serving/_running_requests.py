"""The requests that the own backend server runs, by their identities."""

from collections import deque

import attrs

from marjoramtide.clock import Clock
from marjoramtide.exchange import Request, RunRegistry

# A run that ended so lately may still be named by calls that were on their way, in seconds.
ENDED_RETENTION_S = 5.0
MAX_ENDED = 4096
# A node that has been up for less may have missed the beginning of a run, in seconds.
MAX_RUN_S = 30.0


@attrs.define(slots=True, eq=False, repr=False)
class RunningRequests(RunRegistry):
    """Knows them from their admission to the end of their answers."""

    clock: Clock
    process_started_at: float
    running: dict[str, Request] = attrs.Factory(dict)
    ended_at: dict[str, float] = attrs.Factory(dict)
    ended_order: deque[str] = attrs.Factory(deque)
    with_refused_calls: set[str] = attrs.Factory(set)

    def begin(self, request: Request) -> None:
        if request.request_id:
            self.running[request.request_id] = request

    def end(self, request: Request) -> None:
        self.with_refused_calls.discard(request.request_id)
        if self.running.pop(request.request_id, None) is None:
            return
        self.ended_at[request.request_id] = self.clock.monotonic()
        self.ended_order.append(request.request_id)
        if len(self.ended_order) > MAX_ENDED:
            self.ended_at.pop(self.ended_order.popleft(), None)

    def record_refused_call(self, run: str) -> None:
        if run in self.running:
            self.with_refused_calls.add(run)

    def has_refused_calls(self, request: Request) -> bool:
        """Tell whether a call of a run was refused."""
        return request.request_id in self.with_refused_calls

    def find(self, run: str) -> Request | None:
        return self.running.get(run)

    def may_have_run(self, run: str) -> bool:
        now = self.clock.monotonic()
        ended_at = self.ended_at.get(run)
        if ended_at is not None and now - ended_at < ENDED_RETENTION_S:
            return True
        return now - self.process_started_at < MAX_RUN_S
