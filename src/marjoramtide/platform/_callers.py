"""What callers speak on the platform."""

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

WRITTEN_ANEW = frozenset(
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
# A call made by a running request has that request's id, this, and a part of its own for an id.
CALL_SEPARATOR = "."
# The platform takes 429 and 503 for a promise that the request has not run and never will; 408 and
# 421 too. 502 and 504 promise nothing.
REFUSED = 503
REFUSALS = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEAD_TOO_LARGE: 431,
    ErrorCode.SLOW_CALLER: 408,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.WORKSPACE_LIMITED: 429,
}
UNKNOWN = 502
UNKNOWNS = {ErrorCode.DEADLINE: 504, ErrorCode.BAD_REQUEST: 400, ErrorCode.BODY_TOO_LARGE: 413}
TURNED_AWAY = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n"
    b"Retry-After: 0.2\r\n\r\n"
)


class PlatformCallers(CallerProtocol):
    """Attempt ids and deadlines in headers; statuses that promise, with ``Retry-After``.

    ``calling_service`` is the service on this node's instance, where every request begins.
    """

    connection_limit_response = TURNED_AWAY
    scheme = "Token"

    def __init__(self, calling_service: str) -> None:
        self.calling_service = calling_service

    def read(
        self, http: web.BaseRequest, view: SettingsView, tracer: Tracer, now: float
    ) -> tuple[Request, RouteSettings]:
        settings = read_route(http, view)
        request_id = single_header(http, REQUEST_ID)[:MAX_ID_CHARACTERS]
        headers = end_to_end(http.headers.items(), WRITTEN_ANEW)
        request = Request(
            service=settings.service,
            method=http.method,
            target=http.raw_path,
            headers=(*headers, (CALLING_SERVICE, self.calling_service)),
            urgent=settings.priority == "urgent",
            idempotent=read_idempotent(http.method, settings),
            deadline=now + read_remaining_ms(http, settings) / 1000,
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
            status = UNKNOWNS.get(error.code, UNKNOWN)
        else:
            status = REFUSALS.get(error.code, REFUSED)
        headers = {REQUEST_ID: request_id} if request_id else {}
        if status == REFUSALS[ErrorCode.UNAUTHENTICATED]:
            headers["WWW-Authenticate"] = self.scheme
        if error.retry_after_ms is not None and status not in UNKNOWNS.values():
            headers[RETRY_AFTER] = f"{error.retry_after_ms / 1000:.3f}"
        return web.Response(status=status, headers=headers, text=f"{error.code}: {error.message}\n")

    def response_headers(self, answer: Response, node: str) -> Iterable[tuple[str, str]]:
        return answer.headers


def read_remaining_ms(http: web.BaseRequest, settings: RouteSettings) -> float:
    """Return the milliseconds that the caller gives, bounded by the route's timeout."""
    text = single_header(http, DEADLINE)
    if not text:
        return settings.timeout_ms
    try:
        remaining_ms = float(text)
    except ValueError:
        remaining_ms = -1.0
    if not 0 < remaining_ms < float("inf"):
        raise bad_request(f"{DEADLINE} {text[:40]!r}; allowed: a number above 0")
    return min(remaining_ms, settings.max_timeout_ms)
