"""States of a claimed request."""

from enum import StrEnum


class ClaimState(StrEnum):
    """``held``: the request may run or have run; ``released``: it certainly did not run."""

    HELD = "held"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    RELEASED = "released"
