"""The interface to what backend servers speak beyond plain HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from marjoramtide.exchange import Request
from marjoramtide.serving._backend_response import BackendResponse
from marjoramtide.serving._endpoint_response import EndpointResponse
from marjoramtide.serving._health_check_result import HealthCheckResult
from marjoramtide.serving._response_metadata import ResponseMetadata


class BackendProtocol(ABC):
    """Words requests and reads answers; it decides nothing and holds no state."""

    own_answer_headers: frozenset[str]
    """Headers of an answer, in lower case, that end at this node."""

    @abstractmethod
    def request_headers(
        self, request: Request, remaining_ms: float, instance: str
    ) -> Iterable[tuple[str, str]]:
        """Return the headers that this node adds; ``instance`` is whom the request is for."""

    @abstractmethod
    def belongs(self, request_id: str, reply: BackendResponse) -> bool:
        """Tell whether an answer, whose head is there, is the one to this request."""

    @abstractmethod
    def read_response(self, reply: BackendResponse) -> ResponseMetadata:
        """Read the head of an answer to a request."""

    @abstractmethod
    def read_health(self, answer: EndpointResponse) -> HealthCheckResult:
        """Read the answer of the health endpoint."""
