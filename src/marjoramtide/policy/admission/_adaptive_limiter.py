"""A concurrency limit that follows the speed of the backend server."""

import attrs

from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.admission._concurrency_limiter import ConcurrencyLimiter
from marjoramtide.policy.admission._limit_reduction import LimitReduction

TOLERANCE = 2.0
MIN_GRADIENT = 0.5
FAILURE_FACTOR = 0.95
EVALUATION_SHARE = 0.4


@attrs.define(slots=True, eq=False, repr=False)
class AdaptiveLimiter(ConcurrencyLimiter):
    """Lowers the limit while executions take longer than usual, and raises it again afterwards.

    Failure: a noisy neighbour takes half of the processor; all slots stay full, each execution
    takes twice as long, and every admitted request misses its deadline. With fewer running
    concurrently each one is fast again, and the rest waits or is rejected here, where that is
    cheap. The rule is that of gradient limits (Netflix concurrency-limits): if the recent mean
    duration exceeds ``TOLERANCE`` times the usual one, the limit is divided by the excess factor,
    spread over as many samples as run concurrently; otherwise it grows by its square root for each
    ``limit`` completions that used it, since a neighbour's burst may be over within milliseconds.
    The limit stays within [``min_limit``, ``slots``].

    Failure of that rule: the neighbour slows down each execution equally, however many run, so a
    lower limit costs throughput and helps nothing. Each reduction is therefore evaluated once the
    limit has fallen to ``EVALUATION_SHARE`` of where it started: if executions have not become
    faster, their current time becomes the usual one, and the limit grows again.
    """

    slots: int
    min_limit: int
    recent_ms: Ewma = attrs.Factory(lambda: Ewma(0.1, 0.1))
    usual_ms: Ewma = attrs.Factory(lambda: Ewma(0.01, 0.02))
    exact_limit: float = 0.0
    reduction: LimitReduction | None = None

    def __attrs_post_init__(self) -> None:
        self.slots = max(1, self.slots)
        self.min_limit = min(max(1, self.min_limit), self.slots)
        self.exact_limit = float(self.slots)

    @property
    def limit(self) -> int:
        return int(self.exact_limit)

    def fresh(self) -> ConcurrencyLimiter:
        return AdaptiveLimiter(self.slots, self.min_limit)

    def observe(
        self, duration_ms: float, limit_used: bool, succeeded: bool, running: int = 1
    ) -> None:
        if not succeeded:
            # A failure suggests overload; its short duration must not count as speed.
            self._set(self.exact_limit * FAILURE_FACTOR)
            return
        self.recent_ms.add(duration_ms)
        if self.exact_limit == self.slots or self.recent_ms.value < self.usual_ms.value:
            self.usual_ms.add(self.recent_ms.value)
        if self.reduction is not None and self.exact_limit <= self._evaluated_at(self.reduction):
            self._evaluate(self.reduction, duration_ms)
            return
        gradient = TOLERANCE * self.usual_ms.value / max(self.recent_ms.value, 0.001)
        if gradient < 1:
            self.reduction = self.reduction or LimitReduction(self.exact_limit)
            self.reduction.before_ms = max(self.reduction.before_ms, self.recent_ms.value)
            self._set(self.exact_limit * max(gradient, MIN_GRADIENT) ** (1 / self.exact_limit))
        elif limit_used:
            self._set(self.exact_limit + self.exact_limit**-0.5)
        if gradient >= 1:
            self.reduction = None

    def _evaluated_at(self, reduction: LimitReduction) -> float:
        return max(EVALUATION_SHARE * reduction.initial_limit, self.min_limit)

    def _evaluate(self, reduction: LimitReduction, duration_ms: float) -> None:
        """Keep the limit until enough executions that started under it have ended, then decide."""
        reduction.add(duration_ms)
        if not reduction.has_enough_samples():
            return
        if not reduction.has_helped():
            self.usual_ms.value = reduction.after_ms.value
        self.recent_ms.value = reduction.after_ms.value
        self.reduction = None

    def _set(self, limit: float) -> None:
        self.exact_limit = min(max(limit, float(self.min_limit)), float(self.slots))
