"""Admission control: start a request at this server now, queue it, or reject it.

Under overload, requests that can still be answered in time go first, and the others are rejected
immediately.
"""

from marjoramtide.policy.admission._admission import Admission, Decision, Verdict
from marjoramtide.policy.admission._concurrency_limiter import ConcurrencyLimiter
from marjoramtide.policy.admission._factories import make_admission
from marjoramtide.policy.admission._limiter_factory import LIMITERS

__all__ = ["LIMITERS", "Admission", "ConcurrencyLimiter", "Decision", "Verdict", "make_admission"]
