"""Real nodes beside backend servers that name limits and leave."""

from bench.limits._limit_watch import (
    EnteredRequest,
    FullestWindow,
    NamedRate,
    allowed_between,
    fullest_window,
)

__all__ = [
    "EnteredRequest",
    "FullestWindow",
    "NamedRate",
    "allowed_between",
    "fullest_window",
]
