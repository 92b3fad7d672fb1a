"""Plays overlapping faults, drawn by seed, against real processes, and checks what callers got."""

from soak._fault import Fault
from soak._judge import Violation, judge
from soak._plan import SoakPlan, draw_plan
from soak._play import SoakResult, run_soak
from soak._records import CallerRecord, ReceivedAnswer, ServerRecord

__all__ = [
    "CallerRecord",
    "Fault",
    "ReceivedAnswer",
    "ServerRecord",
    "SoakPlan",
    "SoakResult",
    "Violation",
    "draw_plan",
    "judge",
    "run_soak",
]
