"""Which requests are held back because backend servers end while they run them?

Made for a request that ends each server that begins it and comes again and again, by any node; nine
of ten requests that are lost with a server are innocent, and must be served on.
"""

from marjoramtide.policy.quarantine._completed_requests import CompletedRequests
from marjoramtide.policy.quarantine._hold_rule import HoldRule
from marjoramtide.policy.quarantine._judgement import Judgement, RunVerdict
from marjoramtide.policy.quarantine._quarantine import Quarantine
from marjoramtide.policy.quarantine._suspect import MAX_ENDS, Suspect
from marjoramtide.policy.quarantine._suspicion import ServerEnd, Suspicion

__all__ = [
    "MAX_ENDS",
    "CompletedRequests",
    "HoldRule",
    "Judgement",
    "Quarantine",
    "RunVerdict",
    "ServerEnd",
    "Suspect",
    "Suspicion",
]
