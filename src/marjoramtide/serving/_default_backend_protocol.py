"""The backend protocol defined by this project."""

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
STATEMENT_PARSER = StatementParser(RATE_LIMIT, LEAVING)


class DefaultBackendProtocol(BackendProtocol):
    """``Request-Outcome: not-run`` for rejections, and a JSON health endpoint.

    In any response, including health checks, a server may send ``Backend-Rate-Limit``, the requests
    per second that it accepts from all callers together for as long as the header is present, and
    ``Backend-Leaving: 1``.

    A request for a workspace has the headers ``Marjoramtide-Workspace`` and ``Marjoramtide-Run``.
    Calls that the server makes on its behalf need no API key if they send ``Marjoramtide-Run``
    back.
    """

    internal_response_headers = REWRITTEN_RESPONSE_HEADERS | {RATE_LIMIT, LEAVING}
    names_requests = False

    def __init__(self, tokens: RequestTokens | None = None) -> None:
        """Without ``tokens``, requests are sent without ``Marjoramtide-Run``."""
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

    def named_request(self, response: BackendResponse) -> str:
        return ""

    def read_response(self, response: BackendResponse) -> ResponseMetadata:
        statement, malformed = read_statement(response)
        if response.header("request-outcome") != Outcome.NOT_RUN:
            return ResponseMetadata(
                ResponseVerdict.ANSWERED, statement=statement, malformed=malformed
            )
        is_leaving = response.header("connection").lower() == "close"
        return ResponseMetadata(
            ResponseVerdict.REFUSED,
            is_leaving,
            read_retry_after_ms(response),
            statement=statement,
            malformed=malformed,
        )

    def read_health(self, response: EndpointResponse) -> HealthCheckResult:
        statement, malformed = read_statement(response)
        state = parse_state(response.status, response.body)
        return HealthCheckResult(state, statement=statement, malformed=malformed)


def read_statement(
    response: BackendResponse | EndpointResponse,
) -> tuple[ServerStatement, tuple[str, ...]]:
    """Return the limits that a server states, and the statements that are invalid."""
    return STATEMENT_PARSER.parse(
        response.header_values(RATE_LIMIT), response.header_values(LEAVING)
    )


def parse_state(status: int, body: bytes) -> BackendState:
    """Return the state in a health response: its JSON ``state``, or else by its status."""
    try:
        state = json.loads(body).get("state", "")
    except (ValueError, AttributeError, RecursionError):  # RecursionError: deeply nested JSON
        state = ""
    if state == "draining":
        return BackendState.DRAINING
    return BackendState.READY if status < 400 else BackendState.DOWN


def read_retry_after_ms(response: BackendResponse) -> int | None:
    """Return after how many milliseconds a rejected request may be retried, ``None`` if not stated.

    Anything but a small whole number is ignored. Non-ASCII digits, or thousands of digits, would
    raise an error, and a certain "not run" would be lost.
    """
    for name, unit_ms in (("retry-after-ms", 1), ("retry-after", 1000)):
        text = response.header(name)
        if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
            return int(text) * unit_ms
    return None
