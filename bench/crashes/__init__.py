"""Tests real processes that crash by a request or at random, and measures the effect."""

from bench.crashes._crash_plan import CrashPlan
from bench.crashes._crash_tally import CrashTally
from bench.crashes._play import run_crash_test

__all__ = ["CrashPlan", "CrashTally", "run_crash_test"]
