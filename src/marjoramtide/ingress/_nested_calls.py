"""Nested calls: requests made by requests that run at this node's backend server."""

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import EmptyRunRegistry, Request, RunRegistry

# Codes of failures for lack of capacity: the call would have been served under less load.
CAPACITY_CODES = frozenset(
    (
        ErrorCode.OVERLOADED,
        ErrorCode.DEADLINE,
        ErrorCode.SLOWED,
        ErrorCode.RATE_LIMITED,
        ErrorCode.CALLS_SHORT,
    )
)


@attrs.define(slots=True, eq=False, repr=False)
class NestedCalls:
    """Links nested calls to their parents: the running requests that they name."""

    runs: RunRegistry = attrs.field(factory=EmptyRunRegistry)

    def inherit_from_parent(self, request: Request) -> Request | None:
        """Return a nested call with the priority class, rank and workspace of its parent.

        Returns ``None`` if no request that runs here is its parent. Failure: lookups made for
        routine requests are served before callers' own urgent requests to the same service, since
        the operator ranked the lookup's route on its own. With their parents' ranks, the nested
        calls of routine requests wait behind more urgent requests, and those of urgent ones don't.
        """
        parent = self.runs.find(request.parent_run) if request.parent_run else None
        if parent is None:
            return None
        return attrs.evolve(
            request, urgent=parent.urgent, rank=parent.rank, workspace=parent.workspace
        )

    def record_failure(self, request: Request, error: MarjoramtideError) -> None:
        """Report a nested call that failed for lack of capacity to its parent's run."""
        if request.parent_run and error.code in CAPACITY_CODES:
            self.runs.record_refused_call(request.parent_run)

    def may_have_parent(self, request: Request) -> bool:
        """Return whether a request names a run that this node may have missed, or that just ended.

        A node that restarts beside a server that keeps running doesn't know what that server runs.
        """
        return bool(request.parent_run) and self.runs.may_have_run(request.parent_run)
