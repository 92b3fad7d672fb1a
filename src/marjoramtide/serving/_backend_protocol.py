"""Interface for the backend server's conventions on top of HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from marjoramtide.exchange import Request
from marjoramtide.serving._backend_response import BackendResponse
from marjoramtide.serving._endpoint_response import EndpointResponse
from marjoramtide.serving._health_check_result import HealthCheckResult
from marjoramtide.serving._response_metadata import ResponseMetadata


class BackendProtocol(ABC):
    """Encodes request headers and decodes responses; makes no decisions."""

    internal_response_headers: frozenset[str]
    """Names of response headers, in lower case, that are not forwarded to the caller."""

    @abstractmethod
    def request_headers(
        self, request: Request, remaining_ms: float, instance: str
    ) -> Iterable[tuple[str, str]]:
        """Return the headers to add; ``instance`` is the backend server's identity or empty."""

    names_requests: bool
    """Whether each response names the id of the request that it belongs to."""

    @abstractmethod
    def named_request(self, response: BackendResponse) -> str:
        """Return the id of the request that a response names, empty if it names none."""

    @abstractmethod
    def read_response(self, response: BackendResponse) -> ResponseMetadata:
        """Decode the head of a response."""

    @abstractmethod
    def read_health(self, response: EndpointResponse) -> HealthCheckResult:
        """Decode a response of the health endpoint."""
