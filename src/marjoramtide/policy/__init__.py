"""Decisions, as pure functions of what they are handed: no clock, no randomness, no I/O.

Four packages, each with one question: ``placing``, ``admission``, ``pace`` and ``budgets``.
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
from marjoramtide.policy.budgets import WINDOW_S, ComeBackHint, MeasuringBudget, RetryBudget
from marjoramtide.policy.pace import Interference
from marjoramtide.policy.placing import (
    SELECTORS,
    Selector,
    SmoothSplit,
    bulletin_readers,
    make_selector,
    make_smooth_split,
)

__all__ = [
    "LIMITERS",
    "SELECTORS",
    "WINDOW_S",
    "Admission",
    "CallProfile",
    "ComeBackHint",
    "Decision",
    "Interference",
    "Limiter",
    "MeasuringBudget",
    "RetryBudget",
    "Selector",
    "SmoothSplit",
    "Verdict",
    "bulletin_readers",
    "make_admission",
    "make_call_profile",
    "make_selector",
    "make_smooth_split",
]
