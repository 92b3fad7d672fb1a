"""The protocol between callers of the platform and a node."""

from collections.abc import Iterable

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import Request, Response, UnknownOutcomeError, end_to_end
from marjoramtide.ingress import (
    CallerProtocol,
    bad_request,
    read_idempotent,
    read_route,
    single_header,
)
from marjoramtide.platform._headers import (
    CALLING_SERVICE,
    DEADLINE,
    EXPECTED_INSTANCE,
    REQUEST_ID,
    RETRY_AFTER,
    WORKSPACE,
)
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.telemetry import Tracer

REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Content-Length",
        "Expect",
        DEADLINE,
        CALLING_SERVICE,
        EXPECTED_INSTANCE,
        WORKSPACE,
    )
)
MAX_ID_CHARACTERS = 255
# The id of a call made by a running request is that request's id, this, and a suffix.
CALL_SEPARATOR = "."
# On the platform, 408, 421, 429 and 503 guarantee that the request has not run and never will; 502
# and 504 guarantee nothing.
DEFAULT_REFUSAL_STATUS = 503
REFUSAL_STATUSES = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEAD_TOO_LARGE: 431,
    ErrorCode.SLOW_CALLER: 408,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.WORKSPACE_LIMITED: 429,
}
DEFAULT_UNKNOWN_STATUS = 502
UNKNOWN_STATUSES = {
    ErrorCode.DEADLINE: 504,
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
}
CONNECTION_LIMIT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n"
    b"Retry-After: 0.2\r\n\r\n"
)


class PlatformCallerProtocol(CallerProtocol):
    """Attempt ids and deadlines in headers; statuses with guarantees, and ``Retry-After``.

    ``calling_service`` is the service on this node's instance, where every request originates.
    """

    connection_limit_response = CONNECTION_LIMIT_RESPONSE
    scheme = "Token"

    def __init__(self, calling_service: str) -> None:
        self.calling_service = calling_service

    def read(
        self, http_request: web.BaseRequest, view: SettingsView, tracer: Tracer, now: float
    ) -> tuple[Request, RouteSettings]:
        settings = read_route(http_request, view)
        request_id = single_header(http_request, REQUEST_ID)[:MAX_ID_CHARACTERS]
        headers = end_to_end(http_request.headers.items(), REPLACED_HEADERS)
        request = Request(
            service=settings.service,
            method=http_request.method,
            target=http_request.raw_path,
            headers=(*headers, (CALLING_SERVICE, self.calling_service)),
            urgent=settings.priority == "urgent",
            idempotent=read_idempotent(http_request.method, settings),
            deadline=now + read_remaining_ms(http_request, settings) / 1000,
            depth=1 + request_id.count(CALL_SEPARATOR),
            parent_run=request_id.rpartition(CALL_SEPARATOR)[0],
            trace=tracer.start_trace("", settings.trace_share).traceparent(),
            request_id=request_id,
            rank=settings.rank,
            goal=now + settings.goal_ms / 1000 if settings.goal_ms else float("inf"),
        )
        return request, settings

    def refusal(self, error: MarjoramtideError, node: str, request_id: str = "") -> web.Response:
        if isinstance(error, UnknownOutcomeError):
            status = UNKNOWN_STATUSES.get(error.code, DEFAULT_UNKNOWN_STATUS)
        else:
            status = REFUSAL_STATUSES.get(error.code, DEFAULT_REFUSAL_STATUS)
        headers = {REQUEST_ID: request_id} if request_id else {}
        if status == REFUSAL_STATUSES[ErrorCode.UNAUTHENTICATED]:
            headers["WWW-Authenticate"] = self.scheme
        if error.retry_after_ms is not None and status not in UNKNOWN_STATUSES.values():
            headers[RETRY_AFTER] = f"{error.retry_after_ms / 1000:.3f}"
        return web.Response(status=status, headers=headers, text=f"{error.code}: {error.message}\n")

    def response_headers(self, response: Response, node: str) -> Iterable[tuple[str, str]]:
        return response.headers


def read_remaining_ms(http_request: web.BaseRequest, settings: RouteSettings) -> float:
    """Return the milliseconds until the caller's deadline, at most the route's timeout."""
    text = single_header(http_request, DEADLINE)
    if not text:
        return settings.timeout_ms
    try:
        remaining_ms = float(text)
    except ValueError:
        remaining_ms = -1.0
    if not 0 < remaining_ms < float("inf"):
        raise bad_request(f"{DEADLINE} {text[:40]!r}; allowed: a number above 0")
    return min(remaining_ms, settings.max_timeout_ms)
