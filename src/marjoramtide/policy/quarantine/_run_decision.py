"""The decision on a request before a backend server may start it."""

from enum import StrEnum

import attrs


class RunVerdict(StrEnum):
    """Whether a backend server may start a request."""

    RUN = "run"
    TRIAL = "trial"
    """It may, as the only run in the fleet, to find out whether servers still crash."""
    HOLD = "hold"


@attrs.frozen(slots=True)
class RunDecision:
    """The verdict, and for how many more seconds a request is held back."""

    verdict: RunVerdict
    wait_s: float = 0.0
