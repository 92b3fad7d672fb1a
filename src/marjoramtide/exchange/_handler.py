"""The interface of whoever serves requests."""

from abc import ABC, abstractmethod

from marjoramtide.exchange._request import Request
from marjoramtide.exchange._request_body import RequestBody
from marjoramtide.exchange._response import Response


class RequestHandler(ABC):
    """Serves one request: beside its own backend server, or by way of another node."""

    @abstractmethod
    async def handle(self, request: Request, body: RequestBody) -> Response:
        """Return the answer, or raise ``NotRunError`` or ``UnknownOutcomeError``.

        Cancelling the call cancels the request where it has not begun to run, and otherwise gives
        up its answer.
        """
