"""Interface to the quarantine of requests that crash backend servers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from marjoramtide.exchange import Request, RequestBody
from marjoramtide.serving._in_flight_request import InFlightRequest


class RequestGuard(ABC):
    """Decides which requests may be sent, and learns from how earlier ones ended."""

    @abstractmethod
    def fingerprint(self, request: Request, body: RequestBody) -> int:
        """Return a number that is the same for equal requests."""

    @abstractmethod
    def check(self, request: Request, fingerprint: int) -> None:
        """Raise ``NotRunError`` if the request is quarantined."""

    @abstractmethod
    def begin(self, request: Request, fingerprint: int) -> None:
        """Record that a request is about to be sent; raises ``NotRunError`` as ``check`` does."""

    @abstractmethod
    def completed(self, fingerprint: int) -> None:
        """Record that the backend server has completed a request."""

    @abstractmethod
    def server_crashed(self, suspects: Sequence[InFlightRequest]) -> None:
        """Record which requests were in flight when the backend server crashed."""

    @abstractmethod
    def server_replaced(self) -> None:
        """Record that the backend server was replaced by a new process."""


class AllowAllGuard(RequestGuard):
    """Allows every request."""

    def fingerprint(self, request: Request, body: RequestBody) -> int:
        return 0

    def check(self, request: Request, fingerprint: int) -> None:
        pass

    def begin(self, request: Request, fingerprint: int) -> None:
        pass

    def completed(self, fingerprint: int) -> None:
        pass

    def server_crashed(self, suspects: Sequence[InFlightRequest]) -> None:
        pass

    def server_replaced(self) -> None:
        pass
