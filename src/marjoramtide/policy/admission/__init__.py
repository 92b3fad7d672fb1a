"""Does a request start at this server now, wait for its turn, or go elsewhere?

Made for more requests than a server can do in time: what can still be answered in time goes first,
and what can't is told so at once.
"""

from marjoramtide.policy.admission._admission import Admission, Decision, Verdict
from marjoramtide.policy.admission._concurrency_limiter import ConcurrencyLimiter
from marjoramtide.policy.admission._factories import make_admission
from marjoramtide.policy.admission._limiter_factory import LIMITERS

__all__ = ["LIMITERS", "Admission", "ConcurrencyLimiter", "Decision", "Verdict", "make_admission"]
