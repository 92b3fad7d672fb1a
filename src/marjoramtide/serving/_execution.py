"""A request between its admission and the end of its answer."""

import attrs

from marjoramtide.exchange import Request, RequestBody

ANSWER_MARGIN_S = 0.01
ANSWER_MARGIN_SHARE = 0.05


@attrs.define(slots=True, eq=False, repr=False)
class Execution:
    """One request at the backend server; ``begun`` once a byte of it may have left.

    ``dispatched`` once the backend server was to be given it, so that what becomes of it from there
    on tells something of that server. ``answered`` once its answer, or its refusal, has arrived
    whole. ``fingerprint`` tells whether the request is the same as another one.

    ``arrived``, ``started`` and ``deadline`` are in seconds of the monotonic clock. The deadline is
    a little before the request's own, so that the word of the serving node, which alone knows
    whether the request ran, reaches the caller before the ingress node gives up with "unknown".
    """

    ticket: int
    request: Request
    body: RequestBody
    arrived_at: float
    deadline: float
    started_at: float = 0.0
    is_dispatched: bool = False
    may_have_run: bool = False
    is_answered: bool = False
    fingerprint: int = 0

    def mark_sent(self) -> None:
        """Note that from here on nobody can say that the request did not run."""
        self.may_have_run = True


def make_execution(
    ticket: int, request: Request, body: RequestBody, now: float, fingerprint: int = 0
) -> Execution:
    """Return the execution of a request that arrived just now."""
    margin = min(ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * (request.deadline - now))
    deadline = request.deadline - max(0.0, margin)
    return Execution(ticket, request, body, now, deadline, fingerprint=fingerprint)
