"""The serving side of a node: the only door to its own backend server."""

from marjoramtide.serving._backend_state import BackendState
from marjoramtide.serving._backend_transport import BackendTransport
from marjoramtide.serving._claim_gate import ClaimGate
from marjoramtide.serving._http_transport import HttpTransport
from marjoramtide.serving._measurer import Measurer
from marjoramtide.serving._service import ServingService

__all__ = [
    "BackendState",
    "BackendTransport",
    "ClaimGate",
    "HttpTransport",
    "Measurer",
    "ServingService",
]
