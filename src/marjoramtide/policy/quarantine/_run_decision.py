"""What is decided of a request before a backend server may begin it."""

from enum import StrEnum

import attrs


class RunVerdict(StrEnum):
    """Whether a backend server may begin a request."""

    RUN = "run"
    TRIAL = "trial"
    """It may, alone in the fleet, to find out whether servers still end by it."""
    HOLD = "hold"


@attrs.frozen(slots=True)
class RunDecision:
    """The verdict, and for how many seconds a request is still held back."""

    verdict: RunVerdict
    wait_s: float = 0.0
