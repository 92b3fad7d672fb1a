"""Does a request start at this server now, wait for its turn, or go elsewhere?

Made for more requests than a server can do in time: what can still be answered in time goes first,
and what can't is told so at once.
"""

from marjoramtide.policy.admission._admission import Admission, Decision, Verdict
from marjoramtide.policy.admission._factories import make_admission
from marjoramtide.policy.admission._limiter import Limiter
from marjoramtide.policy.admission._limiters import LIMITERS

__all__ = ["LIMITERS", "Admission", "Decision", "Limiter", "Verdict", "make_admission"]
