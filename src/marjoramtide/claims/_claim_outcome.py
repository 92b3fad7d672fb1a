"""What asking for a claim can end in."""

from enum import StrEnum


class ClaimOutcome(StrEnum):
    """``HELD`` and ``HELD_UNCLAIMED`` allow the dispatch; after the others it must not happen."""

    HELD = "held"
    HELD_UNCLAIMED = "held-unclaimed"
    RECORDED = "recorded"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
