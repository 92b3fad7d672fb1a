"""Reasons why a claim could not be acquired."""

from enum import StrEnum


class ConflictReason(StrEnum):
    """``IN_PROGRESS``: another attempt is running, or may have run without recording an outcome.

    ``OTHER_REQUEST``: the key was already used for another request. ``UNREADABLE``: the object
    under the key is not a valid claim, or could not be read.
    """

    IN_PROGRESS = "in-progress"
    OTHER_REQUEST = "other-request"
    UNREADABLE = "unreadable"
