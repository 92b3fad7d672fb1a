"""Outcomes of acquiring a claim."""

from enum import StrEnum


class ClaimOutcome(StrEnum):
    """Only after ``HELD`` and ``HELD_UNCLAIMED`` may the request be dispatched."""

    HELD = "held"
    HELD_UNCLAIMED = "held-unclaimed"
    RECORDED = "recorded"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
