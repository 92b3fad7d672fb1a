"""Why a claim is not to be had."""

from enum import StrEnum


class ConflictReason(StrEnum):
    """``IN_PROGRESS``: another attempt runs, or may have run and never said how it ended.

    ``OTHER_REQUEST``: the key was used with another request before. ``UNREADABLE``: the store holds
    something under the key that is no claim, or nothing that could be read.
    """

    IN_PROGRESS = "in-progress"
    OTHER_REQUEST = "other-request"
    UNREADABLE = "unreadable"
