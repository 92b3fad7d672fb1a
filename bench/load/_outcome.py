"""What a caller knows of a call in the end."""

from enum import StrEnum


class Outcome(StrEnum):
    """How an attempt ended, as the caller sees it.

    ``failed`` is an error of the backend server that was passed on whole; ``unreachable`` means
    that no connection could be made, so nothing was sent; ``wrong`` is an answer that was passed
    off as whole and is not the caller's own.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    WRONG = "wrong"
