"""The side of a node that callers reach."""

from marjoramtide.ingress._authenticator import Authenticator
from marjoramtide.ingress._caller_protocol import CallerProtocol
from marjoramtide.ingress._calls import Calls
from marjoramtide.ingress._dispatcher import Dispatcher
from marjoramtide.ingress._ingress import Ingress
from marjoramtide.ingress._own_callers import OwnCallers
from marjoramtide.ingress._peer_ends import PeerEnds
from marjoramtide.ingress._read_request import bad, read_idempotent, read_route, single
from marjoramtide.ingress._request_quota import NoQuota, QuotaLease, RequestQuota
from marjoramtide.ingress._start_up import StartUp

__all__ = [
    "Authenticator",
    "CallerProtocol",
    "Calls",
    "Dispatcher",
    "Ingress",
    "NoQuota",
    "OwnCallers",
    "PeerEnds",
    "QuotaLease",
    "RequestQuota",
    "StartUp",
    "bad",
    "read_idempotent",
    "read_route",
    "single",
]
