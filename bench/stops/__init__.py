"""Plays a fleet of real nodes that stand still at one moment, and counts what callers get."""

from bench.stops._play import play_stop
from bench.stops._stop_plan import StopPlan
from bench.stops._stop_tally import StopTally

__all__ = ["StopPlan", "StopTally", "play_stop"]
