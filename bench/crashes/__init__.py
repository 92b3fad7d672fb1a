"""Plays real processes that end by a request, or of themselves, and counts what that costs."""

from bench.crashes._crash_plan import CrashPlan
from bench.crashes._crash_tally import CrashTally
from bench.crashes._play import play_crashes

__all__ = ["CrashPlan", "CrashTally", "play_crashes"]
