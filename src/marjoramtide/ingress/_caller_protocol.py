"""The interface for protocol conventions of callers beyond plain HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from aiohttp import web

from marjoramtide.errors import MarjoramtideError
from marjoramtide.exchange import Request, Response
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.telemetry import Tracer


class CallerProtocol(ABC):
    """Reads requests and formats responses; it makes no decisions and holds no state."""

    connection_limit_response: bytes
    """The raw HTTP response to a connection above the connection limit."""

    scheme: str
    """The ``Authorization`` scheme of callers' keys."""

    @abstractmethod
    def read(
        self, http_request: web.BaseRequest, view: SettingsView, tracer: Tracer, now: float
    ) -> tuple[Request, RouteSettings]:
        """Return the request with the settings of its route.

        ``now`` is in seconds of the monotonic clock. The request's ``parent_run`` is the run that
        made it according to the sender. Raises ``bad-request``, ``head-too-large``,
        ``unknown-service`` or ``depth-exceeded``.
        """

    @abstractmethod
    def refusal(self, error: MarjoramtideError, node: str, request_id: str = "") -> web.Response:
        """Return the final response to a request that failed with ``error``."""

    @abstractmethod
    def response_headers(self, response: Response, node: str) -> Iterable[tuple[str, str]]:
        """Return the headers that a backend server's response is sent to the caller with."""
