"""Interface for sending requests to the backend server."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from marjoramtide.exchange import Request, RequestBody, Response
from marjoramtide.serving._endpoint_response import EndpointResponse


class BackendTransport(ABC):
    """Sends requests to the backend server beside this node."""

    @abstractmethod
    async def send(
        self,
        request: Request,
        body: RequestBody,
        remaining_ms: float,
        on_dispatch: Callable[[], None],
    ) -> Response:
        """Send the request and return its response.

        Calls ``on_dispatch`` before the first byte of the request may be sent. Raises
        ``NotRunError`` if nothing was sent or the backend server states that it did not run the
        request, and ``UnknownOutcomeError`` if the response is incomplete. A connection with a
        cancelled or incomplete exchange is closed and never reused.
        """

    @abstractmethod
    async def read(self, path: str, timeout_s: float) -> EndpointResponse:
        """Send a GET request to one of the backend server's own endpoints.

        Raises ``NotRunError``, ``UnknownOutcomeError`` or ``TimeoutError`` if that fails.
        """

    async def probe(self) -> None:
        """Check quickly whether the server still accepts connections, and report if it doesn't.

        Does nothing by default, for transports that can't check this without a request.
        """
        return None

    @abstractmethod
    def server_replaced(self) -> None:
        """Close the connections to the previous process of the backend server.

        Requests that wait for a response on them raise ``UnknownOutcomeError``.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
