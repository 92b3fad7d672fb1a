"""What a caller is told of its request."""

from enum import StrEnum


class Outcome(StrEnum):
    """The value of the ``Request-Outcome`` header.

    ``not-run`` is said only where it is known that no backend server began the request;
    ``unknown`` where one may have.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
