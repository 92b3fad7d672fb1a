"""The default protocol of callers: our own headers and those of the RFCs."""

from collections.abc import Iterator

from aiohttp import web

from marjoramtide.errors import MarjoramtideError
from marjoramtide.exchange import Outcome, Request, Response
from marjoramtide.ingress._caller_protocol import CallerProtocol
from marjoramtide.ingress._read_request import read_request
from marjoramtide.ingress._refusal import refusal
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.telemetry import Tracer

CONNECTION_LIMIT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n"
    b"Request-Outcome: not-run\r\nRetry-After: 1\r\nRetry-After-Ms: 1000\r\n"
    b'Proxy-Status: marjoramtide; error=connection_limit_reached; details="overloaded"\r\n'
    b"Server: marjoramtide\r\n\r\n"
)


class DefaultCallerProtocol(CallerProtocol):
    """Reads ``Priority``, ``Idempotency-Key`` and others; responds with ``Request-Outcome``."""

    connection_limit_response = CONNECTION_LIMIT_RESPONSE
    scheme = "Bearer"

    def read(
        self, http_request: web.BaseRequest, view: SettingsView, tracer: Tracer, now: float
    ) -> tuple[Request, RouteSettings]:
        return read_request(http_request, view, tracer, now)

    def refusal(self, error: MarjoramtideError, node: str, request_id: str = "") -> web.Response:
        return refusal(error, node)

    def response_headers(self, response: Response, node: str) -> Iterator[tuple[str, str]]:
        own = {
            "Request-Outcome": str(Outcome.COMPLETED),
            "Marjoramtide-Node": node,
            "Server": "marjoramtide",
        }
        names = {name.lower() for name in own}
        yield from (header for header in response.headers if header[0].lower() not in names)
        yield from own.items()
