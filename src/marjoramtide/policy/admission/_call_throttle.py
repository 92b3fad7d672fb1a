"""Rejects requests whose calls to another service would probably be refused."""

import math

import attrs

# The time constant over which runs are counted, in seconds: a few runs of a busy server.
DECAY_S = 2.0
# How many runs are admitted for each one whose calls were served. The excess over 1 is how an
# increase of the called service's capacity is detected.
ADMITTED_PER_SERVED = 1.5
# Runs whose calls may be refused within the time constant before any run is rejected.
FREE_FAILURES = 2.0


@attrs.define(slots=True, eq=False, repr=False)
class CallThrottle:
    """Client-side adaptive throttling (Google's SRE book), for the runs of one kind.

    Failure: the service that runs call is overloaded, and refuses half of their calls. A run that
    needs two calls gets both in a quarter of the cases; all others hold a slot for their whole time
    and end with an error, and any call that was served for them is wasted as well. If fewer runs
    are admitted, those get all their calls.

    ``runs`` counts runs that ended or were rejected, ``served`` the ones among them whose calls
    were served; both decay. ``credit`` accumulates the admitted share: one run is admitted whenever
    it reaches 1.
    """

    runs: float = 0.0
    served: float = 0.0
    updated_at: float = 0.0
    credit: float = 0.0

    def record_end(self, calls_refused: bool, now: float) -> None:
        """Record the end of a run, and whether one of its calls was refused."""
        self._decay(now)
        self.runs += 1
        self.served += not calls_refused

    def admit(self, now: float) -> bool:
        """Tell whether another run may start; a run that may not is counted."""
        self._decay(now)
        self.credit += self.admitted_share()
        if self.credit >= 1:
            self.credit -= 1
            return True
        self.runs += 1
        return False

    def admitted_share(self) -> float:
        """Return the share (0 to 1) of the offered runs that may start."""
        excess = self.runs - ADMITTED_PER_SERVED * self.served - FREE_FAILURES
        return 1 - max(0.0, excess / (self.runs + 1))

    def retry_after_ms(self) -> float:
        """Return the retry delay of a rejected caller: the longer, the fewer runs are admitted."""
        return DECAY_S * 1000 * (1 - self.admitted_share())

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.updated_at) / DECAY_S)
        self.runs *= factor
        self.served *= factor
        self.updated_at = now
