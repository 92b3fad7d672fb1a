"""Decisions, as pure functions of what they are handed: no clock, no randomness, no I/O."""

from marjoramtide.policy._admission import Admission, Decision, Verdict
from marjoramtide.policy._bulletin_readers import bulletin_readers
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy._come_back_hint import ComeBackHint
from marjoramtide.policy._factories import SELECTORS, make_admission, make_selector
from marjoramtide.policy._interference import Interference
from marjoramtide.policy._limiter import Limiter
from marjoramtide.policy._limiters import LIMITERS
from marjoramtide.policy._load_report import LoadReport
from marjoramtide.policy._measuring_budget import MeasuringBudget
from marjoramtide.policy._retry_budget import WINDOW_S, RetryBudget
from marjoramtide.policy._selector import Selector
from marjoramtide.policy._smooth_split import SmoothSplit, make_smooth_split

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
    "LoadReport",
    "MeasuringBudget",
    "RetryBudget",
    "Selector",
    "SmoothSplit",
    "Verdict",
    "bulletin_readers",
    "make_admission",
    "make_selector",
    "make_smooth_split",
]
