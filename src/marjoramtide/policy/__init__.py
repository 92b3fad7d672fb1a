"""Decision logic without I/O: the time and the random generator are passed in by the caller.

Each subpackage covers one decision: ``placing``, ``admission``, ``pace``, ``budgets``,
``quarantine``, ``evacuation``, ``quota`` and ``statements``.
"""

from marjoramtide.policy._call_profile import CallProfile, make_call_profile
from marjoramtide.policy.admission import (
    LIMITERS,
    Admission,
    Decision,
    Limiter,
    Verdict,
    make_admission,
)
from marjoramtide.policy.budgets import (
    WINDOW_S,
    ComeBackHint,
    MeasuringBudget,
    RetryBudget,
    TokenBucket,
)
from marjoramtide.policy.evacuation import KEPT_S, Evacuated, Evacuations
from marjoramtide.policy.pace import Interference
from marjoramtide.policy.placing import (
    SELECTORS,
    BulletinRoutes,
    Selector,
    SmoothSplit,
    bulletin_recipients,
    make_selector,
    make_smooth_split,
)
from marjoramtide.policy.quarantine import (
    MAX_ENDS,
    CompletedRequests,
    HoldRule,
    Quarantine,
    RunVerdict,
    ServerEnd,
    Suspect,
    Suspicion,
)
from marjoramtide.policy.statements import StartStatements

__all__ = [
    "KEPT_S",
    "LIMITERS",
    "MAX_ENDS",
    "SELECTORS",
    "WINDOW_S",
    "Admission",
    "BulletinRoutes",
    "CallProfile",
    "ComeBackHint",
    "CompletedRequests",
    "Decision",
    "Evacuated",
    "Evacuations",
    "HoldRule",
    "Interference",
    "Limiter",
    "MeasuringBudget",
    "Quarantine",
    "RetryBudget",
    "RunVerdict",
    "Selector",
    "ServerEnd",
    "SmoothSplit",
    "StartStatements",
    "Suspect",
    "Suspicion",
    "TokenBucket",
    "Verdict",
    "bulletin_recipients",
    "make_admission",
    "make_call_profile",
    "make_selector",
    "make_smooth_split",
]
