"""The result of a test with crashing processes."""

from collections.abc import Sequence

import attrs

# Crashes later than this after the third one count as late: by then all nodes should hold the
# request back.
KNOWN_AFTER_S = 3.0


@attrs.frozen(slots=True)
class CrashTally:
    """Times of the crashes since the start of the test, and shares of completed requests.

    ``held_back_count`` counts attempts of requests other than the deadly ones that were held back.
    """

    crashed_at: Sequence[float]
    common: float
    others: float
    held_back_count: int

    @property
    def late_crashes(self) -> int:
        """Return the number of crashes after all nodes should have held the request back."""
        if len(self.crashed_at) < 3:
            return 0
        known_at = self.crashed_at[2] + KNOWN_AFTER_S
        return sum(at > known_at for at in self.crashed_at)
