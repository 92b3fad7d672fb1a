"""What backend servers speak by our own headers."""

import json
from collections.abc import Iterator

from marjoramtide.exchange import OWN_ANSWER, Outcome, Request
from marjoramtide.serving._backend_protocol import BackendProtocol
from marjoramtide.serving._backend_reply import BackendReply
from marjoramtide.serving._backend_state import BackendState
from marjoramtide.serving._endpoint_answer import EndpointAnswer
from marjoramtide.serving._health_reading import HealthReading
from marjoramtide.serving._reply_reading import ReplyReading, ReplyVerdict

MAX_DIGITS = 7


class OwnBackend(BackendProtocol):
    """``Request-Outcome: not-run`` for refusals, and a JSON health endpoint."""

    own_answer_headers = OWN_ANSWER

    def request_headers(
        self, request: Request, remaining_ms: float, instance: str
    ) -> Iterator[tuple[str, str]]:
        yield "Request-Timeout-Ms", str(max(1, int(remaining_ms)))
        yield "Marjoramtide-Depth", str(request.depth)
        yield "Traceparent", request.trace

    def belongs(self, request_id: str, reply: BackendReply) -> bool:
        return True

    def read_reply(self, reply: BackendReply) -> ReplyReading:
        if reply.header("request-outcome") != Outcome.NOT_RUN:
            return ReplyReading(ReplyVerdict.ANSWERED)
        leaving = reply.header("connection").lower() == "close"
        return ReplyReading(ReplyVerdict.REFUSED, leaving, come_back_ms(reply))

    def read_health(self, answer: EndpointAnswer) -> HealthReading:
        return HealthReading(parse_state(answer.status, answer.body))


def parse_state(status: int, body: bytes) -> BackendState:
    """Return the state in a health answer: its JSON ``state``, or by its status alone."""
    try:
        state = json.loads(body).get("state", "")
    except (ValueError, AttributeError, RecursionError):  # the last one for what is nested deeply
        state = ""
    if state == "draining":
        return BackendState.DRAINING
    return BackendState.READY if status < 400 else BackendState.DOWN


def come_back_ms(reply: BackendReply) -> int | None:
    """Return when the backend server wants a refused request back, in milliseconds, if it says so.

    What is no small whole number counts as not said: digits of other scripts, or thousands of them,
    would end a provable "not run" in an error.
    """
    for name, unit_ms in (("retry-after-ms", 1), ("retry-after", 1000)):
        text = reply.header(name)
        if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
            return int(text) * unit_ms
    return None
