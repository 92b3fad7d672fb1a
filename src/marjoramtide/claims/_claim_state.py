"""What a claim says of its request."""

from enum import StrEnum


class ClaimState(StrEnum):
    """``held``: may run, or may have run; ``released``: certainly did not run."""

    HELD = "held"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    RELEASED = "released"
