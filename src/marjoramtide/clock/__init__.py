"""Clocks, which are passed in wherever code depends on time."""

from marjoramtide.clock._clock import Clock
from marjoramtide.clock._freeze import FreezeDetector
from marjoramtide.clock._manual import ManualClock
from marjoramtide.clock._system import SystemClock

__all__ = ["Clock", "FreezeDetector", "ManualClock", "SystemClock"]
