"""An estimate of the recent demand."""

import math

import attrs

# The time constant of the estimate, in seconds: short enough to follow demand that moves to another
# node within a second.
DECAY_S = 0.5


@attrs.define(slots=True, eq=False, repr=False)
class DemandRate:
    """An exponentially weighted rate, in units per second."""

    weight: float = 0.0
    updated_at: float = 0.0

    def note(self, amount: float, now: float) -> None:
        """Record that so much was requested."""
        self.weight = self._decayed(now) + amount
        self.updated_at = now

    def rate(self, now: float) -> float:
        return self._decayed(now) / DECAY_S

    def _decayed(self, now: float) -> float:
        return self.weight * math.exp(-max(0.0, now - self.updated_at) / DECAY_S)
