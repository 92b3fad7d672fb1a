"""Who decides which requests the backend server must not begin."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from marjoramtide.exchange import Request, RequestBody
from marjoramtide.serving._in_flight_request import InFlightRequest


class RequestGuard(ABC):
    """Told what becomes of the backend server's runs; asked before each."""

    @abstractmethod
    def fingerprint(self, request: Request, body: RequestBody) -> int:
        """Return the number by which a request is known again."""

    @abstractmethod
    def check(self, request: Request, fingerprint: int) -> None:
        """Raise ``NotRunError`` where it is known that a request must not be begun now."""

    @abstractmethod
    def begin(self, request: Request, fingerprint: int) -> None:
        """Note that a request is handed to the backend server; raises as ``check``."""

    @abstractmethod
    def completed(self, fingerprint: int) -> None:
        """Note that the backend server has answered a request, and lives."""

    @abstractmethod
    def server_ended(self, suspects: Sequence[InFlightRequest]) -> None:
        """Note what the backend server was running when it ended."""

    @abstractmethod
    def server_replaced(self) -> None:
        """Note that another start has taken the backend server's place."""


class AllowAllGuard(RequestGuard):
    """Lets everything run."""

    def fingerprint(self, request: Request, body: RequestBody) -> int:
        return 0

    def check(self, request: Request, fingerprint: int) -> None:
        pass

    def begin(self, request: Request, fingerprint: int) -> None:
        pass

    def completed(self, fingerprint: int) -> None:
        pass

    def server_ended(self, suspects: Sequence[InFlightRequest]) -> None:
        pass

    def server_replaced(self) -> None:
        pass
