"""Holding back runs whose calls to another service would be in vain."""

import math

import attrs

# The span over which runs are counted, in seconds: a few runs of a busy server.
SPAN_S = 2.0
# How many runs are let in for each that got its calls: what the called service does more is found
# out by as much.
TRIED_FOR_EACH = 1.5
# Runs that may lack their calls in the span before any is held back.
FREE = 2.0


@attrs.define(slots=True, eq=False, repr=False)
class CallThrottle:
    """Adaptive throttling by the client (Google's SRE book), for the runs of one kind.

    Failure: a service that runs call is short, and refuses half of their calls. A run that needs
    two of them gets both in a quarter of the cases; all others hold a slot for their whole time,
    and end with an error, and the calls that were served for them were in vain as well. Fewer runs,
    refused before they begin, get all their calls.

    ``over`` counts runs that are over or were held back, ``served`` those of them that got their
    calls; both decay. ``due`` sums up the share that is let in: one goes in whenever that makes 1.
    """

    over: float = 0.0
    served: float = 0.0
    updated: float = 0.0
    due: float = 0.0

    def ended(self, lacked_calls: bool, now: float) -> None:
        """Note the end of a run, and whether a call of it was refused."""
        self._decay(now)
        self.over += 1
        self.served += not lacked_calls

    def admits(self, now: float) -> bool:
        """Tell whether another run may begin; one that may not is counted."""
        self._decay(now)
        self.due += self.share()
        if self.due >= 1:
            self.due -= 1
            return True
        self.over += 1
        return False

    def share(self) -> float:
        """Return which share (0 to 1) of the runs that are asked for may begin."""
        held_back = self.over - TRIED_FOR_EACH * self.served - FREE
        return 1 - max(0.0, held_back / (self.over + 1))

    def retry_after_ms(self) -> float:
        """Return after how long a caller should come back: longer, the fewer are let in."""
        return SPAN_S * 1000 * (1 - self.share())

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.updated) / SPAN_S)
        self.over *= factor
        self.served *= factor
        self.updated = now
