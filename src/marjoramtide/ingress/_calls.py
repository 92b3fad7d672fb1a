"""Calls of requests that the own backend server runs."""

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import EmptyRunRegistry, Request, RunRegistry

# Why a call fails that would have been served if fewer had come.
WANT_OF_ROOM = frozenset(
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
    """Knows calls by the runs that they name."""

    runs: RunRegistry = attrs.field(factory=EmptyRunRegistry)

    def inherit_from_parent(self, request: Request) -> Request | None:
        """Return a call with the class, rank and workspace of the request that waits for it.

        ``None`` where it is the call of no run here. Failure: lookups for routine requests go
        before callers' own urgent ones of the service that is called, since its operator has ranked
        the lookup by itself. By their parents' rank, calls of routine requests wait behind what is
        more urgent, and those of urgent ones don't.
        """
        parent = self.runs.find(request.parent_run) if request.parent_run else None
        if parent is None:
            return None
        return attrs.evolve(
            request, urgent=parent.urgent, rank=parent.rank, workspace=parent.workspace
        )

    def record_failure(self, request: Request, error: MarjoramtideError) -> None:
        """Note that a call failed for want of room at the service that was called."""
        if request.parent_run and error.code in WANT_OF_ROOM:
            self.runs.record_refused_call(request.parent_run)

    def may_be_of_a_run(self, request: Request) -> bool:
        """Tell whether a request names a run that this node may have missed, or has just seen end.

        A node that starts anew beside a server that runs on doesn't know what that one runs.
        """
        return bool(request.parent_run) and self.runs.may_have_run(request.parent_run)
