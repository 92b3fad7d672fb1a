"""How much is asked for of late."""

import math

import attrs

# The span over which a rate is estimated: short enough to follow demand that moves to another node
# within a second.
SPAN_S = 0.5


@attrs.define(slots=True, eq=False, repr=False)
class DemandRate:
    """An exponentially weighted rate, in units a second."""

    weight: float = 0.0
    updated: float = 0.0

    def note(self, amount: float, now: float) -> None:
        """Take in that so much was asked for."""
        self.weight = self._decayed(now) + amount
        self.updated = now

    def rate(self, now: float) -> float:
        return self._decayed(now) / SPAN_S

    def _decayed(self, now: float) -> float:
        return self.weight * math.exp(-max(0.0, now - self.updated) / SPAN_S)
