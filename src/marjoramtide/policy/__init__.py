"""Decision logic without I/O: the time and the random generator are passed in by the caller.

Each subpackage covers one decision: ``placing``, ``admission``, ``pace``, ``budgets``,
``quarantine``, ``evacuation``, ``quota`` and ``statements``.
"""

from marjoramtide.policy._call_profile import CallProfile, make_call_profile
from marjoramtide.policy.admission import (
    LIMITERS,
    Admission,
    ConcurrencyLimiter,
    Decision,
    Verdict,
    make_admission,
)
from marjoramtide.policy.budgets import (
    RETRY_WINDOW_S,
    HealthCheckBudget,
    RetryAfterHint,
    RetryBudget,
    TokenBucket,
)
from marjoramtide.policy.evacuation import EVACUATION_HOLD_S, EvacuationSnapshot, EvacuationState
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
    MAX_CRASHES,
    CompletedRequests,
    HoldRule,
    Quarantine,
    RunVerdict,
    ServerCrash,
    Suspect,
    SuspectReport,
)
from marjoramtide.policy.statements import StatementTracker

__all__ = [
    "EVACUATION_HOLD_S",
    "LIMITERS",
    "MAX_CRASHES",
    "RETRY_WINDOW_S",
    "SELECTORS",
    "Admission",
    "BulletinRoutes",
    "CallProfile",
    "CompletedRequests",
    "ConcurrencyLimiter",
    "Decision",
    "EvacuationSnapshot",
    "EvacuationState",
    "HealthCheckBudget",
    "HoldRule",
    "Interference",
    "Quarantine",
    "RetryAfterHint",
    "RetryBudget",
    "RunVerdict",
    "Selector",
    "ServerCrash",
    "SmoothSplit",
    "StatementTracker",
    "Suspect",
    "SuspectReport",
    "TokenBucket",
    "Verdict",
    "bulletin_recipients",
    "make_admission",
    "make_call_profile",
    "make_selector",
    "make_smooth_split",
]
