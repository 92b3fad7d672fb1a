"""Decisions, as pure functions of what they are handed: no clock, no randomness, no I/O."""

from marjoramtide.policy._admission import Admission, Decision, Verdict
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy._load_report import LoadReport
from marjoramtide.policy._selector import Selector

__all__ = ["Admission", "CallProfile", "Decision", "LoadReport", "Selector", "Verdict"]
