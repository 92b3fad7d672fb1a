"""Requests and responses, as the components of a node pass them to each other."""

from marjoramtide.exchange._failures import (
    NotRunError,
    RequestFailedError,
    UnknownOutcomeError,
)
from marjoramtide.exchange._fingerprint import Fingerprinter
from marjoramtide.exchange._handler import RequestHandler
from marjoramtide.exchange._headers import (
    REWRITTEN_REQUEST_HEADERS,
    REWRITTEN_RESPONSE_HEADERS,
    end_to_end,
)
from marjoramtide.exchange._load_report import LoadReport, first_sequence
from marjoramtide.exchange._outcome import Outcome
from marjoramtide.exchange._request import Request
from marjoramtide.exchange._request_body import (
    MAX_BYTES_WITH_HEAD,
    MAX_INLINE_BYTES,
    RequestBody,
    inline_body,
    stream_body,
)
from marjoramtide.exchange._response import Response
from marjoramtide.exchange._run_registry import EmptyRunRegistry, RunRegistry
from marjoramtide.exchange._server_statement import ServerStatement
from marjoramtide.exchange._target import is_origin_form

__all__ = [
    "MAX_BYTES_WITH_HEAD",
    "MAX_INLINE_BYTES",
    "REWRITTEN_REQUEST_HEADERS",
    "REWRITTEN_RESPONSE_HEADERS",
    "EmptyRunRegistry",
    "Fingerprinter",
    "LoadReport",
    "NotRunError",
    "Outcome",
    "Request",
    "RequestBody",
    "RequestFailedError",
    "RequestHandler",
    "Response",
    "RunRegistry",
    "ServerStatement",
    "UnknownOutcomeError",
    "end_to_end",
    "first_sequence",
    "inline_body",
    "is_origin_form",
    "stream_body",
]
