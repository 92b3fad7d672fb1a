"""Which requests are held back because backend servers end while they run them?

Made for a request that ends each server that begins it and comes again and again, by any node; nine
of ten requests that are lost with a server are innocent, and must be served on.
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
