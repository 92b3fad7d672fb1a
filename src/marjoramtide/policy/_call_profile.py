"""What the policy sees of a request."""

import attrs

from marjoramtide.exchange import Request


@attrs.frozen(slots=True)
class CallProfile:
    """The part of a request that decisions depend on.

    ``deadline`` is in seconds of the monotonic clock; ``attempt`` counts from 1. ``kind`` names the
    requests that take about as long as this one: those of its route and class. An answer after
    ``goal``, on the clock of the deadline, is worth less; a lower ``rank`` goes first in its class.
    ``is_call`` is true where a running request waits for this one. ``workspace`` is whose share of
    a server it counts for, empty where that isn't known.
    """

    urgent: bool
    idempotent: bool
    deadline: float
    attempt: int = 1
    kind: str = ""
    goal: float = float("inf")
    rank: int = 0
    is_call: bool = False
    workspace: str = ""


def make_call_profile(request: Request, deadline: float, attempt: int, kind: str) -> CallProfile:
    """Return what the policy sees of a request at its ``attempt``-th try.

    A call has no goal of its own: the request that made it holds a slot until the answer is there,
    and fails without it.
    """
    return CallProfile(
        urgent=request.urgent,
        idempotent=request.idempotent,
        deadline=deadline,
        attempt=attempt,
        kind=kind,
        goal=float("inf") if request.is_call else request.goal,
        rank=request.rank,
        is_call=request.is_call,
        workspace=request.workspace,
    )
