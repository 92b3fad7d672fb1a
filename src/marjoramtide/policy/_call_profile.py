"""What the policy sees of a request."""

import attrs


@attrs.frozen(slots=True)
class CallProfile:
    """The part of a request that decisions depend on.

    ``deadline`` is in seconds of the monotonic clock; ``attempt`` counts from 1. ``kind`` names the
    requests that take about as long as this one: those of its route and class. An answer after
    ``goal``, on the clock of the deadline, is worth less; a lower ``rank`` goes first in its class.
    """

    urgent: bool
    idempotent: bool
    deadline: float
    attempt: int = 1
    kind: str = ""
    goal: float = float("inf")
    rank: int = 0
