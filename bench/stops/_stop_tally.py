"""What callers of a fleet get that stood still."""

from collections import Counter

import attrs


@attrs.frozen(slots=True)
class StopTally:
    """What became of the requests that were sent from the stop on.

    ``refused`` counts attempts by the reason of their refusal, ``served_again_s`` is how long after
    the end of the stop the last one was refused.
    """

    asked: int
    completed: int
    refused: Counter[str]
    served_again_s: float
