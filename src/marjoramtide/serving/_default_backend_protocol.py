"""What backend servers speak by our own headers."""

import json
from collections.abc import Iterator

from marjoramtide.exchange import REWRITTEN_RESPONSE_HEADERS, Outcome, Request, ServerStatement
from marjoramtide.serving._backend_protocol import BackendProtocol
from marjoramtide.serving._backend_response import BackendResponse
from marjoramtide.serving._backend_state import BackendState
from marjoramtide.serving._endpoint_response import EndpointResponse
from marjoramtide.serving._health_check_result import HealthCheckResult
from marjoramtide.serving._request_tokens import RequestTokens
from marjoramtide.serving._response_metadata import ResponseMetadata, ResponseVerdict
from marjoramtide.serving._statement_parser import StatementParser

MAX_DIGITS = 7
RATE_LIMIT = "backend-rate-limit"
LEAVING = "backend-leaving"
STATEMENTS = StatementParser(RATE_LIMIT, LEAVING)


class DefaultBackendProtocol(BackendProtocol):
    """``Request-Outcome: not-run`` for refusals, and a JSON health endpoint.

    In any answer, of its health too, a server may name ``Backend-Rate-Limit``, the requests a
    second that it takes from all callers together for as long as it says so, and say
    ``Backend-Leaving: 1``.

    A request for a workspace comes with ``Marjoramtide-Workspace`` and ``Marjoramtide-Run``. Calls
    that the server makes for it need no key where they bring the latter back.
    """

    own_answer_headers = REWRITTEN_RESPONSE_HEADERS | {RATE_LIMIT, LEAVING}

    def __init__(self, tokens: RequestTokens | None = None) -> None:
        """Without ``tokens`` requests come without ``Marjoramtide-Run``."""
        self.tokens = tokens

    def request_headers(
        self, request: Request, remaining_ms: float, instance: str
    ) -> Iterator[tuple[str, str]]:
        yield "Request-Timeout-Ms", str(max(1, int(remaining_ms)))
        yield "Marjoramtide-Depth", str(request.depth)
        yield "Traceparent", request.trace
        if request.workspace:
            yield "Marjoramtide-Workspace", request.workspace
            if self.tokens is not None:
                yield "Marjoramtide-Run", self.tokens.issue(request)

    def belongs(self, request_id: str, reply: BackendResponse) -> bool:
        return True

    def read_response(self, reply: BackendResponse) -> ResponseMetadata:
        statement, malformed = read_statement(reply)
        if reply.header("request-outcome") != Outcome.NOT_RUN:
            return ResponseMetadata(
                ResponseVerdict.ANSWERED, statement=statement, malformed=malformed
            )
        leaving = reply.header("connection").lower() == "close"
        return ResponseMetadata(
            ResponseVerdict.REFUSED,
            leaving,
            come_back_ms(reply),
            statement=statement,
            malformed=malformed,
        )

    def read_health(self, answer: EndpointResponse) -> HealthCheckResult:
        statement, malformed = read_statement(answer)
        state = parse_state(answer.status, answer.body)
        return HealthCheckResult(state, statement=statement, malformed=malformed)


def read_statement(
    answer: BackendResponse | EndpointResponse,
) -> tuple[ServerStatement, tuple[str, ...]]:
    """Read what a server says that it takes, and what of it can't be read."""
    return STATEMENTS.parse(answer.header_values(RATE_LIMIT), answer.header_values(LEAVING))


def parse_state(status: int, body: bytes) -> BackendState:
    """Return the state in a health answer: its JSON ``state``, or by its status alone."""
    try:
        state = json.loads(body).get("state", "")
    except (ValueError, AttributeError, RecursionError):  # the last one for what is nested deeply
        state = ""
    if state == "draining":
        return BackendState.DRAINING
    return BackendState.READY if status < 400 else BackendState.DOWN


def come_back_ms(reply: BackendResponse) -> int | None:
    """Return when the backend server wants a refused request back, in milliseconds, if it says so.

    What is no small whole number counts as not said: digits of other scripts, or thousands of them,
    would end a provable "not run" in an error.
    """
    for name, unit_ms in (("retry-after-ms", 1), ("retry-after", 1000)):
        text = reply.header(name)
        if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
            return int(text) * unit_ms
    return None
