"""A limit that follows how fast the backend server is."""

import attrs

from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.admission._cut import Cut
from marjoramtide.policy.admission._limiter import Limiter

TOLERANCE = 2.0
SMALLEST_GRADIENT = 0.5
FAILURE_FACTOR = 0.95
JUDGED_AT = 0.4


@attrs.define(slots=True, eq=False, repr=False)
class AdaptiveLimiter(Limiter):
    """Shrinks the limit while executions take longer than usual, and grows it back.

    Failure: a noisy neighbour takes half of the processor; all slots stay full, each execution
    takes twice as long, and every request that was admitted misses its deadline. With fewer
    running at once each one is quick again, and the rest waits or is refused here, where that is
    cheap. The rule is that of gradient limits (Netflix concurrency-limits): the limit is multiplied
    by how much the recent mean exceeds ``TOLERANCE`` times the usual one, spread over as many
    samples as run at once; otherwise it grows by its square root for each ``limit`` completions
    that used it, since a neighbour's burst may be over within milliseconds. The limit stays within
    [``min_limit``, ``slots``].

    Failure of that rule: the neighbour slows each execution alike, however many run, and cutting
    the limit takes throughput away and cures nothing. So a cut is judged when it has reached
    ``JUDGED_AT`` of where it began: if executions didn't become quicker by it, their present time
    becomes the usual one, and the limit grows back.
    """

    slots: int
    min_limit: int
    recent: Ewma = attrs.Factory(lambda: Ewma(0.1, 0.1))
    usual: Ewma = attrs.Factory(lambda: Ewma(0.01, 0.02))
    exact: float = 0.0
    cut: Cut | None = None

    def __attrs_post_init__(self) -> None:
        self.slots = max(1, self.slots)
        self.min_limit = min(max(1, self.min_limit), self.slots)
        self.exact = float(self.slots)

    @property
    def limit(self) -> int:
        return int(self.exact)

    def fresh(self) -> Limiter:
        return AdaptiveLimiter(self.slots, self.min_limit)

    def observe(self, duration_ms: float, pressed: bool, succeeded: bool, running: int = 1) -> None:
        if not succeeded:
            # A shed or failed request says too much is asked; quick errors must not count as speed.
            self._set(self.exact * FAILURE_FACTOR)
            return
        self.recent.add(duration_ms)
        if self.exact == self.slots or self.recent.value < self.usual.value:
            self.usual.add(self.recent.value)
        if self.cut is not None and self.exact <= self._judged_at(self.cut):
            self._judge(self.cut, duration_ms)
            return
        gradient = TOLERANCE * self.usual.value / max(self.recent.value, 0.001)
        if gradient < 1:
            self.cut = self.cut or Cut(self.exact)
            self.cut.before_ms = max(self.cut.before_ms, self.recent.value)
            self._set(self.exact * max(gradient, SMALLEST_GRADIENT) ** (1 / self.exact))
        elif pressed:
            self._set(self.exact + self.exact**-0.5)
        if gradient >= 1:
            self.cut = None

    def _judged_at(self, cut: Cut) -> float:
        return max(JUDGED_AT * cut.began_at, self.min_limit)

    def _judge(self, cut: Cut, duration_ms: float) -> None:
        """Hold the limit until enough executions that began under it have ended, then judge."""
        cut.note(duration_ms)
        if not cut.is_judged():
            return
        if not cut.has_cured():
            self.usual.value = cut.after.value
        self.recent.value = cut.after.value
        self.cut = None

    def _set(self, limit: float) -> None:
        self.exact = min(max(limit, float(self.min_limit)), float(self.slots))
