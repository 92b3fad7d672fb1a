"""What a play of ending processes has cost."""

from collections.abc import Sequence

import attrs

# Ends later than this after the third one, in seconds: by then all nodes should know the request.
KNOWN_AFTER_S = 3.0


@attrs.frozen(slots=True)
class CrashTally:
    """When processes ended, in seconds of the play, and the shares of requests that completed.

    ``held`` is how many requests were refused as held back, besides the deadly ones.
    """

    ends: Sequence[float]
    common: float
    others: float
    held: int

    @property
    def late_ends(self) -> int:
        """Return how many ends came when the request should have been known for long."""
        if len(self.ends) < 3:
            return 0
        known_at = self.ends[2] + KNOWN_AFTER_S
        return sum(at > known_at for at in self.ends)
