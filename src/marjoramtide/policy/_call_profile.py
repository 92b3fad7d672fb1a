"""The properties of a request that policies depend on."""

import attrs

from marjoramtide.exchange import Request


@attrs.frozen(slots=True)
class CallProfile:
    """The properties of a request that decisions depend on.

    ``deadline`` and ``goal`` are in seconds of the monotonic clock; a response after the goal is
    worth less. ``attempt`` counts from 1. ``kind`` identifies requests that take about as long as
    this one: those of the same route and class. A lower ``rank`` goes first in its class.
    ``is_call`` is true for a nested call: a running request waits for this one. ``workspace`` is
    the one whose share of a server the request counts towards, empty if unknown.
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
    """Return the profile of a request at its ``attempt``-th attempt.

    A nested call has no goal of its own: the request that made it occupies a slot until the
    response arrives, and fails without it.
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
