"""The serving side of a node: the only door to its own backend server."""

from marjoramtide.serving._backend_protocol import BackendProtocol
from marjoramtide.serving._backend_response import BackendResponse
from marjoramtide.serving._backend_state import BackendState
from marjoramtide.serving._backend_transport import BackendTransport
from marjoramtide.serving._default_backend_protocol import DefaultBackendProtocol
from marjoramtide.serving._endpoint_response import EndpointResponse
from marjoramtide.serving._health_check_result import HealthCheckResult
from marjoramtide.serving._health_checker import HealthChecker
from marjoramtide.serving._http_transport import HttpTransport
from marjoramtide.serving._idempotency_key_dispatcher import IdempotencyKeyDispatcher
from marjoramtide.serving._in_flight_reporter import InFlightReporter
from marjoramtide.serving._in_flight_request import InFlightRequest
from marjoramtide.serving._registrar import Registrar
from marjoramtide.serving._registration import Registration
from marjoramtide.serving._request_guard import RequestGuard
from marjoramtide.serving._request_tokens import RequestTokens
from marjoramtide.serving._response_metadata import ResponseMetadata, ResponseVerdict
from marjoramtide.serving._server_load import ServerLoad
from marjoramtide.serving._service import ServingService
from marjoramtide.serving._statement_parser import StatementParser

__all__ = [
    "BackendProtocol",
    "BackendResponse",
    "BackendState",
    "BackendTransport",
    "DefaultBackendProtocol",
    "EndpointResponse",
    "HealthCheckResult",
    "HealthChecker",
    "HttpTransport",
    "IdempotencyKeyDispatcher",
    "InFlightReporter",
    "InFlightRequest",
    "Registrar",
    "Registration",
    "RequestGuard",
    "RequestTokens",
    "ResponseMetadata",
    "ResponseVerdict",
    "ServerLoad",
    "ServingService",
    "StatementParser",
]
