"""The result of a test with a suspended fleet."""

from collections import Counter

import attrs


@attrs.frozen(slots=True)
class StopTally:
    """Outcomes of the requests that were sent after the start of the suspension.

    ``refused`` counts failed attempts by reason. ``recovery_s`` is the time from the end of the
    suspension until the last failure.
    """

    asked: int
    completed: int
    refused: Counter[str]
    recovery_s: float
