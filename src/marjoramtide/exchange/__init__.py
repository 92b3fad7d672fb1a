"""One request and its one answer, in the form in which the parts of a node hand them on."""

from marjoramtide.exchange._answer import Answer
from marjoramtide.exchange._failures import (
    NotRunError,
    RequestFailedError,
    UnknownOutcomeError,
)
from marjoramtide.exchange._fingerprint import Fingerprinter
from marjoramtide.exchange._handler import RequestHandler
from marjoramtide.exchange._headers import OWN_ANSWER, OWN_REQUEST, end_to_end
from marjoramtide.exchange._load_report import LoadReport, first_sequence
from marjoramtide.exchange._outcome import Outcome
from marjoramtide.exchange._request import Request
from marjoramtide.exchange._request_body import (
    AT_ONCE_BYTES,
    INLINE_BYTES,
    RequestBody,
    inline_body,
    stream_body,
)
from marjoramtide.exchange._runs import NoRuns, Runs
from marjoramtide.exchange._server_statement import ServerStatement
from marjoramtide.exchange._target import is_origin_form

__all__ = [
    "AT_ONCE_BYTES",
    "INLINE_BYTES",
    "OWN_ANSWER",
    "OWN_REQUEST",
    "Answer",
    "Fingerprinter",
    "LoadReport",
    "NoRuns",
    "NotRunError",
    "Outcome",
    "Request",
    "RequestBody",
    "RequestFailedError",
    "RequestHandler",
    "Runs",
    "ServerStatement",
    "UnknownOutcomeError",
    "end_to_end",
    "first_sequence",
    "inline_body",
    "is_origin_form",
    "stream_body",
]
