"""The outcome of a request, as reported to its caller."""

from enum import StrEnum


class Outcome(StrEnum):
    """The value of the ``Request-Outcome`` header.

    ``not-run`` is only sent if it is certain that no backend server began the request, and
    ``unknown`` if one may have.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
