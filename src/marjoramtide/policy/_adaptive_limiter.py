"""A limit that follows how fast the backend server is."""

import attrs

from marjoramtide.policy._limiter import Limiter
from marjoramtide.policy._smoothed import Smoothed

TOLERANCE = 2.0
SMALLEST_GRADIENT = 0.5
FAILURE_FACTOR = 0.95
USUAL_RISE = 0.002
USUAL_RISE_AT_MOST = 0.2


@attrs.define(slots=True)
class AdaptiveLimiter(Limiter):
    """Shrinks the limit while executions take longer than usual, and grows it back.

    Failure: a noisy neighbour takes half of the processor; all slots stay full, each execution
    takes twice as long, and every request that was admitted misses its deadline. With fewer
    running at once each one is quick again, and the rest waits or is refused here, where that is
    cheap. The rule is that of gradient limits (Netflix concurrency-limits): the limit is multiplied
    by how much the recent mean exceeds ``TOLERANCE`` times the long-run one, spread over as many
    samples as run at once; otherwise it grows by its square root for each ``limit`` completions
    that used it, since a neighbour's burst may be over within milliseconds.
    The limit stays within [``min_limit``, ``slots``].

    Failure of the rule itself: the neighbour slows each execution alike, however many run, and
    cutting the limit only takes throughput away. Then executions stay slow while the limit falls,
    so the long-run mean is let rise the faster the lower the limit is: slowness that fewer at once
    don't cure becomes the usual time, and the limit grows back.
    """

    slots: int
    min_limit: int
    recent: Smoothed = attrs.Factory(lambda: Smoothed(0.2, 0.2))
    usual: Smoothed = attrs.Factory(lambda: Smoothed(USUAL_RISE, 0.1))
    exact: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.slots = max(1, self.slots)
        self.min_limit = min(max(1, self.min_limit), self.slots)
        self.exact = float(self.slots)

    @property
    def limit(self) -> int:
        return int(self.exact)

    def observe(self, duration_ms: float, in_use: int, succeeded: bool) -> None:
        if not succeeded:
            # A shed or failed request says too much is asked; quick errors must not count as speed.
            self._set(self.exact * FAILURE_FACTOR)
            return
        self.recent.add(duration_ms)
        self.usual.rise = min(USUAL_RISE_AT_MOST, USUAL_RISE * (self.slots / self.exact) ** 2)
        self.usual.add(self.recent.value)
        gradient = TOLERANCE * self.usual.value / max(self.recent.value, 0.001)
        if gradient < 1:
            self._set(self.exact * max(gradient, SMALLEST_GRADIENT) ** (1 / self.exact))
        elif in_use * 2 >= self.exact:
            self._set(self.exact + self.exact**-0.5)

    def _set(self, limit: float) -> None:
        self.exact = min(max(limit, float(self.min_limit)), float(self.slots))
