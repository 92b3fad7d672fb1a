"""The requests that the own backend server runs, by their identities."""

from collections import deque

import attrs

from marjoramtide.clock import Clock
from marjoramtide.exchange import Request, RunRegistry

# A run that ended so lately may still be named by calls that were on their way, in seconds.
JUST_ENDED_S = 5.0
MOST_ENDED = 4096
# A node that has been up for less may have missed the beginning of a run, in seconds.
LONGEST_RUN_S = 30.0


@attrs.define(slots=True, eq=False, repr=False)
class RunningRequests(RunRegistry):
    """Knows them from their admission to the end of their answers; ``began_at`` is the node's."""

    clock: Clock
    began_at: float
    running: dict[str, Request] = attrs.Factory(dict)
    ended: dict[str, float] = attrs.Factory(dict)
    order: deque[str] = attrs.Factory(deque)
    lacking: set[str] = attrs.Factory(set)

    def begin(self, request: Request) -> None:
        if request.request_id:
            self.running[request.request_id] = request

    def end(self, request: Request) -> None:
        self.lacking.discard(request.request_id)
        if self.running.pop(request.request_id, None) is None:
            return
        self.ended[request.request_id] = self.clock.monotonic()
        self.order.append(request.request_id)
        if len(self.order) > MOST_ENDED:
            self.ended.pop(self.order.popleft(), None)

    def record_refused_call(self, run: str) -> None:
        if run in self.running:
            self.lacking.add(run)

    def lacks_calls(self, request: Request) -> bool:
        """Tell whether a call of a run was refused."""
        return request.request_id in self.lacking

    def find(self, run: str) -> Request | None:
        return self.running.get(run)

    def may_have_run(self, run: str) -> bool:
        now = self.clock.monotonic()
        ended_at = self.ended.get(run)
        if ended_at is not None and now - ended_at < JUST_ENDED_S:
            return True
        return now - self.began_at < LONGEST_RUN_S
