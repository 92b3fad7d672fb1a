"""Plays overlapping faults, drawn by seed, against real processes, and checks what callers got."""

from soak._fault import Fault
from soak._judge import Violation, judge
from soak._judge_changes import ChangeJudge, HostPlace
from soak._plan import SoakPlan, draw_plan
from soak._play import SoakResult, run_soak
from soak._records import CallerRecord, ReceivedAnswer, ServerRecord
from soak._timeline import Evacuation, RouteMove, Timeline

__all__ = [
    "CallerRecord",
    "ChangeJudge",
    "Evacuation",
    "Fault",
    "HostPlace",
    "ReceivedAnswer",
    "RouteMove",
    "ServerRecord",
    "SoakPlan",
    "SoakResult",
    "Timeline",
    "Violation",
    "draw_plan",
    "judge",
    "run_soak",
]
