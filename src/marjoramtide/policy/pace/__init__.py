"""The model of how much slower than usual a backend server runs, and for how long.

It is meant for servers that share their instances with others: neighbours slow them down for
intervals that may be shorter or longer than a request.
"""

from marjoramtide.policy.pace._interference import Interference
from marjoramtide.policy.pace._pace import Pace
from marjoramtide.policy.pace._run_forecast import run_ms
from marjoramtide.policy.pace._stall import stall_threshold_ms, stalled_ms
from marjoramtide.policy.pace._work_times import DEFAULT_WORK_MS, WorkTimes

__all__ = [
    "DEFAULT_WORK_MS",
    "Interference",
    "Pace",
    "WorkTimes",
    "run_ms",
    "stall_threshold_ms",
    "stalled_ms",
]
