"""The serving side of a node: the only door to its own backend server."""

from marjoramtide.serving._backend_protocol import BackendProtocol
from marjoramtide.serving._backend_reply import BackendReply
from marjoramtide.serving._backend_state import BackendState
from marjoramtide.serving._backend_transport import BackendTransport
from marjoramtide.serving._claim_gate import ClaimGate
from marjoramtide.serving._endpoint_answer import EndpointAnswer
from marjoramtide.serving._health_reading import HealthReading
from marjoramtide.serving._http_transport import HttpTransport
from marjoramtide.serving._measurer import Measurer
from marjoramtide.serving._own_backend import OwnBackend
from marjoramtide.serving._registrar import Registrar
from marjoramtide.serving._registration import Registration
from marjoramtide.serving._reply_reading import ReplyReading, ReplyVerdict
from marjoramtide.serving._run import Run
from marjoramtide.serving._run_guard import RunGuard
from marjoramtide.serving._run_reporter import RunReporter
from marjoramtide.serving._run_tokens import RunTokens
from marjoramtide.serving._server_load import ServerLoad
from marjoramtide.serving._service import ServingService
from marjoramtide.serving._statement_reader import StatementReader

__all__ = [
    "BackendProtocol",
    "BackendReply",
    "BackendState",
    "BackendTransport",
    "ClaimGate",
    "EndpointAnswer",
    "HealthReading",
    "HttpTransport",
    "Measurer",
    "OwnBackend",
    "Registrar",
    "Registration",
    "ReplyReading",
    "ReplyVerdict",
    "Run",
    "RunGuard",
    "RunReporter",
    "RunTokens",
    "ServerLoad",
    "ServingService",
    "StatementReader",
]
