"""The share of the load that goes to the next nearest data centres."""

import math

import attrs

RISE_S = 0.1
FALL_S = 2.0
# Scores that differ by this factor skip the smoothing.
CLEAR_FACTOR = 4.0


@attrs.define(slots=True, eq=False, repr=False)
class SpillOver:
    """The share of requests that leave the nearest data centre, changed smoothly.

    If every ingress node sent everything to the next data centre as soon as the nearest one looked
    slower, late reports would make all of them return at the same time, and both data centres would
    oscillate between idle and overloaded. Instead the share moves towards a target that is
    proportional to the difference (so that small differences move few requests), with the time
    constant ``RISE_S`` outwards and the longer ``FALL_S`` back. The smoothing is skipped only when
    one side is slower by ``CLEAR_FACTOR``: then its servers have stopped.
    """

    share: float = 0.0
    updated_at: float | None = None

    def update(self, near_ms: float, far_ms: float, band_ms: float, now: float) -> float:
        """Return the share (0 to 1) for the far data centre, given the scores of both.

        ``band_ms`` is the difference at which all requests would leave.
        """
        target = min(1.0, max(0.0, (near_ms - far_ms) / band_ms))
        elapsed_s = now - self.updated_at if self.updated_at is not None else RISE_S
        self.updated_at = now
        time_constant_s = RISE_S if target > self.share else FALL_S
        self.share += (target - self.share) * (1 - math.exp(-elapsed_s / time_constant_s))
        if near_ms > CLEAR_FACTOR * far_ms:
            return 1.0
        return 0.0 if far_ms > CLEAR_FACTOR * near_ms else self.share
