"""The interface to the backend server beside a node."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from marjoramtide.exchange import Request, RequestBody, Response
from marjoramtide.serving._endpoint_response import EndpointResponse


class BackendTransport(ABC):
    """Sends requests to the one backend server of this node."""

    @abstractmethod
    async def send(
        self,
        request: Request,
        body: RequestBody,
        remaining_ms: float,
        on_dispatch: Callable[[], None],
    ) -> Response:
        """Send the request and return its answer.

        Calls ``begun`` before the first byte of the request may leave. Raises ``NotRunError``
        where nothing was sent or the backend server says that it did not run the request, and
        ``UnknownOutcomeError`` where the answer broke off. A connection on which anything was
        cancelled or broke off is closed and never used again.
        """

    @abstractmethod
    async def read(self, path: str, timeout_s: float) -> EndpointResponse:
        """Read one of the backend server's own endpoints.

        Raises ``NotRunError``, ``UnknownOutcomeError`` or ``TimeoutError`` where it can't.
        """

    async def probe(self) -> None:
        """Find out soon whether anybody listens at the server's address, and tell if nobody does.

        Does nothing where that can't be found out without a request.
        """
        return None

    @abstractmethod
    def server_replaced(self) -> None:
        """Close the connections to a start of the backend server that has ended.

        Requests that wait for an answer on them raise ``UnknownOutcomeError``.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
