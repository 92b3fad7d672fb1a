"""Outcomes of calls."""

from enum import StrEnum


class Outcome(StrEnum):
    """The outcome of an attempt as the caller sees it.

    ``failed`` is an error response of the backend server, forwarded completely. ``unreachable``
    means that no connection could be made, so nothing was sent. ``wrong`` is a successful response
    that is incomplete or belongs to another request.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    WRONG = "wrong"
