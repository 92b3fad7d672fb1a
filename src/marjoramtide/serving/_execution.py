"""State of a request from its arrival to the end of its response."""

import attrs

from marjoramtide.exchange import Request, RequestBody

# Time kept for returning the result to the ingress node: the smaller of the two.
RETURN_MARGIN_S = 0.01
RETURN_MARGIN_SHARE = 0.05


@attrs.define(slots=True, eq=False, repr=False)
class Execution:
    """One request for the backend server.

    ``is_dispatched`` is set when sending starts; from then on the result counts for the statistics
    of the backend server. ``may_have_run`` is set before the first byte may be sent.
    ``is_answered`` is set when the response, or a rejection by the server, has arrived completely.
    Equal requests have equal fingerprints.

    ``arrived_at``, ``started_at`` and ``deadline`` are in seconds of the monotonic clock. The
    deadline is slightly earlier than that of the request: only the serving node knows whether the
    request ran, and its result must arrive before the ingress node times out with "unknown".
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
        """Record that the request may run from now on."""
        self.may_have_run = True


def make_execution(
    ticket: int, request: Request, body: RequestBody, now: float, fingerprint: int = 0
) -> Execution:
    """Return the execution of a request that arrives now."""
    margin_s = min(RETURN_MARGIN_S, RETURN_MARGIN_SHARE * (request.deadline - now))
    deadline = request.deadline - max(0.0, margin_s)
    return Execution(ticket, request, body, now, deadline, fingerprint=fingerprint)
