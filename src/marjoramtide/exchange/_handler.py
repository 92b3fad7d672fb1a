"""The interface of components that serve requests."""

from abc import ABC, abstractmethod

from marjoramtide.exchange._request import Request
from marjoramtide.exchange._request_body import RequestBody
from marjoramtide.exchange._response import Response


class RequestHandler(ABC):
    """Serves requests, at its own backend server or through another node."""

    @abstractmethod
    async def handle(self, request: Request, body: RequestBody) -> Response:
        """Return the response, or raise ``NotRunError`` or ``UnknownOutcomeError``.

        Cancelling the call cancels the request if it has not begun to run, and otherwise discards
        its response.
        """
