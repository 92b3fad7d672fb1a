"""Which requests are held back because backend servers crash while they run them?

For a request that crashes each server that starts it and is sent again and again, through any node.
Nine of ten requests that are lost with a server are innocent, and must still be served.
"""

from marjoramtide.policy.quarantine._completed_requests import CompletedRequests
from marjoramtide.policy.quarantine._hold_rule import HoldRule
from marjoramtide.policy.quarantine._quarantine import Quarantine
from marjoramtide.policy.quarantine._run_decision import RunDecision, RunVerdict
from marjoramtide.policy.quarantine._suspect import MAX_CRASHES, Suspect
from marjoramtide.policy.quarantine._suspect_report import ServerCrash, SuspectReport

__all__ = [
    "MAX_CRASHES",
    "CompletedRequests",
    "HoldRule",
    "Quarantine",
    "RunDecision",
    "RunVerdict",
    "ServerCrash",
    "Suspect",
    "SuspectReport",
]
