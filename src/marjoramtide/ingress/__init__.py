"""The ingress side of a node: HTTP requests of callers, from parsing to the final response."""

from marjoramtide.ingress._authenticator import Authenticator
from marjoramtide.ingress._caller_protocol import CallerProtocol
from marjoramtide.ingress._default_caller_protocol import DefaultCallerProtocol
from marjoramtide.ingress._dispatcher import Dispatcher
from marjoramtide.ingress._ingress import Ingress
from marjoramtide.ingress._nested_calls import NestedCalls
from marjoramtide.ingress._peer_crash_detector import PeerCrashDetector
from marjoramtide.ingress._read_request import (
    bad_request,
    read_idempotent,
    read_route,
    single_header,
)
from marjoramtide.ingress._request_quota import NoQuota, QuotaLease, RequestQuota
from marjoramtide.ingress._startup_grace import StartupGrace

__all__ = [
    "Authenticator",
    "CallerProtocol",
    "DefaultCallerProtocol",
    "Dispatcher",
    "Ingress",
    "NestedCalls",
    "NoQuota",
    "PeerCrashDetector",
    "QuotaLease",
    "RequestQuota",
    "StartupGrace",
    "bad_request",
    "read_idempotent",
    "read_route",
    "single_header",
]
