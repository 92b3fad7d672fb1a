"""Tests a fleet of real nodes that are all suspended at the same time."""

from bench.stops._play import run_stop_test
from bench.stops._stop_plan import StopPlan
from bench.stops._stop_tally import StopTally

__all__ = ["StopPlan", "StopTally", "run_stop_test"]
