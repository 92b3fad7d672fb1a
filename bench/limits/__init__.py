"""Tests real nodes beside backend servers that announce rate limits and leave."""

from bench.limits._limit_plan import LimitPlan, draw_plan
from bench.limits._limit_tally import LimitTally
from bench.limits._limit_watch import (
    AnnouncedRate,
    FullestWindow,
    ReceivedRequest,
    allowed_between,
    fullest_window,
)
from bench.limits._lookups import LookupResponse, Lookups
from bench.limits._play import run_limit_test

__all__ = [
    "AnnouncedRate",
    "FullestWindow",
    "LimitPlan",
    "LimitTally",
    "LookupResponse",
    "Lookups",
    "ReceivedRequest",
    "allowed_between",
    "draw_plan",
    "fullest_window",
    "run_limit_test",
]
