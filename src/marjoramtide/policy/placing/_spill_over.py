"""How much of the load goes to the next nearest data centres."""

import math

import attrs

RISE_S = 0.1
FALL_S = 2.0
CLEARLY = 4.0


@attrs.define(slots=True, eq=False, repr=False)
class SpillOver:
    """The share of requests that leave the nearest data centre, moved smoothly.

    Failure: the nearest data centre looks slower, so every ingress node sends everything to the
    next; reports arrive late, so by the time that one looks slower too, all turn back at once, and
    both swing between idle and overloaded. Here the share moves towards a target proportional to
    how much slower the near one is (so small differences move few requests), quickly outwards and
    slowly back. Only a difference of ``CLEARLY`` times skips the smoothing: then the near one has
    stopped or the far one has.
    """

    share: float = 0.0
    updated_at: float | None = None

    def push(self, near_ms: float, far_ms: float, band_ms: float, now: float) -> float:
        """Return the share (0 to 1) for the far one, given the scores of both.

        ``band_ms`` is the difference at which everything would leave.
        """
        target = min(1.0, max(0.0, (near_ms - far_ms) / band_ms))
        elapsed = now - self.updated_at if self.updated_at is not None else RISE_S
        self.updated_at = now
        reach = RISE_S if target > self.share else FALL_S
        self.share += (target - self.share) * (1 - math.exp(-elapsed / reach))
        if near_ms > CLEARLY * far_ms:
            return 1.0
        return 0.0 if far_ms > CLEARLY * near_ms else self.share
