"""The interface to what callers speak beyond plain HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from aiohttp import web

from marjoramtide.errors import MarjoramtideError
from marjoramtide.exchange import Request, Response
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.telemetry import Tracer


class CallerProtocol(ABC):
    """Reads requests and words answers; it decides nothing and holds no state."""

    connection_limit_response: bytes
    """The whole answer to a connection that is one too many."""

    scheme: str
    """The scheme of ``Authorization`` with which callers send their keys."""

    @abstractmethod
    def read(
        self, http: web.BaseRequest, view: SettingsView, tracer: Tracer, now: float
    ) -> tuple[Request, RouteSettings]:
        """Return the request with the settings of its route.

        ``now`` is in seconds of the monotonic clock. ``parent`` of the request names the run that
        it is a call of, as its sender says. Raises ``bad-request``, ``head-too-large``,
        ``unknown-service`` or ``depth-exceeded``.
        """

    @abstractmethod
    def refusal(self, error: MarjoramtideError, node: str, request_id: str = "") -> web.Response:
        """Return the one final answer for a request that was given up."""

    @abstractmethod
    def response_headers(self, answer: Response, node: str) -> Iterable[tuple[str, str]]:
        """Return the headers with which a backend server's answer goes to the caller."""
