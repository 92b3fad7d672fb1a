"""A concurrency limit just below the number at which a nearly full backend server becomes slow."""

import math
from collections.abc import Sequence

import attrs

from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.admission._concurrency_limiter import ConcurrencyLimiter

# The share of the slots that is the first limit of an unknown server. Servers that slow down when
# nearly full do so in the last two fifths; a limit that is too low is raised under load.
INITIAL_LIMIT_SHARE = 0.8
# Executions that must have ended at some concurrency before it is distinguished from lower ones.
# Single times deviate by a third to two thirds of their mean; the mean of eight is accurate to 12
# to 24 in a hundred, and the steps to be found are a third or more.
MIN_SAMPLES = 8
# The weight of an execution among those of its concurrency, once there are some.
WEIGHT = 0.05
# How much longer executions must take at a higher concurrency to be distinguished from those below,
# as a logarithm: a fifth. A smaller step costs less than the slots that would be left unused.
MIN_STEP = math.log(1.2)
# The share of the best throughput at which a lower limit is preferred: its responses come sooner.
NEARLY_BEST = 0.97
# The shortest duration, in milliseconds: below the resolution of a timer.
MIN_DURATION_MS = 0.1
# Executions under load after which the limit is chosen again, as a multiple of the limit.
ROUNDS = 2
# After how many choices a lower limit is tried if nothing is known below, and its share of the
# current one: a server that was full from its start may never have been seen below its knee.
LOWER_AFTER_CHOICES = 5
LOWER_SHARE = 0.75
# Executions after which higher limits are tried again: a knee may have disappeared.
RETRY_HIGHER_AFTER = 4000


@attrs.define(slots=True, eq=False, repr=False)
class KneeLimiter(ConcurrencyLimiter):
    """Finds the concurrency at which a backend server has the highest throughput.

    Failure: a server takes 1.7 times as long for everything while over four fifths of its slots are
    in use. Under load all slots are, so each response is late and the throughput is a fifth lower
    than with the last slots left unused. Throughput is the concurrency divided by the duration of
    an execution. The duration is averaged for each concurrency at which executions started, and
    assumed to rise with it: where it falls by chance, neighbouring numbers are pooled. Means are
    geometric, so that one execution of ten times the usual length doesn't look like a knee.

    Under load the next higher limit is tried unless it is known to be slower. Failure of starting
    with all slots: all nodes restart under traffic, requests take 1.7 times as long from the first
    moment on, and a server that was half loaded is full.
    """

    slots: int
    log_durations: list[Ewma] = attrs.field()
    current_limit: int = attrs.field()
    loaded_samples: int = 0
    samples_since_lowered: int = 0
    choices: int = 0

    @log_durations.default
    def _empty_durations(self) -> list[Ewma]:
        return [Ewma(WEIGHT, WEIGHT) for _ in range(self.slots)]

    @current_limit.default
    def _first_limit(self) -> int:
        return max(1, int(INITIAL_LIMIT_SHARE * self.slots + 1e-9))

    @property
    def limit(self) -> int:
        return self.current_limit

    def fresh(self) -> ConcurrencyLimiter:
        return KneeLimiter(self.slots)

    def observe(
        self, duration_ms: float, limit_used: bool, succeeded: bool, running: int = 1
    ) -> None:
        if not succeeded:
            return
        samples = self.log_durations[min(running, self.slots) - 1]
        samples.add_mean(math.log(max(duration_ms, MIN_DURATION_MS)))
        self.loaded_samples += limit_used
        self.samples_since_lowered += 1
        if self.samples_since_lowered > RETRY_HIGHER_AFTER:
            self._reset_higher()
        if self.loaded_samples >= ROUNDS * self.current_limit:
            self.loaded_samples = 0
            self._choose()

    def _choose(self) -> None:
        """Choose the limit with the highest throughput; try the next one if that is unknown."""
        levels = duration_levels(self.log_durations)
        self.choices += 1
        lower = max(1, int(LOWER_SHARE * self.current_limit))
        known_below = sum(duration.count for duration in self.log_durations[:lower])
        if self.choices == LOWER_AFTER_CHOICES and len(levels) < 2 and known_below < MIN_SAMPLES:
            self.current_limit = lower
            return
        best = self._best_limit(levels)
        if best < self.current_limit:
            self.current_limit = best
            self.samples_since_lowered = 0
        elif self.current_limit < self.slots and not self._is_slower_above(levels):
            self.current_limit += 1

    def _best_limit(self, levels: "list[DurationLevel]") -> int:
        """Return the lowest limit with nearly the best known throughput.

        Of two limits with the same throughput the lower one gives earlier responses. Only the ends
        of levels are compared: within a level a higher limit always has a higher throughput.
        """
        ends = [*(level.max_concurrency for level in levels[:-1]), self.current_limit]
        throughput = {end: end / relative_duration(levels, end) for end in ends}
        return min(end for end in ends if throughput[end] >= NEARLY_BEST * max(throughput.values()))

    def _is_slower_above(self, levels: "list[DurationLevel]") -> bool:
        """Tell whether the next higher limit is known to have a lower throughput."""
        above = self.current_limit + 1
        if levels and levels[-1].max_concurrency < above:
            return False
        return above / relative_duration(levels, above) < self.current_limit / relative_duration(
            levels, self.current_limit
        )

    def _reset_higher(self) -> None:
        self.samples_since_lowered = 0
        for index in range(self.current_limit, self.slots):
            self.log_durations[index] = Ewma(WEIGHT, WEIGHT)


@attrs.define(slots=True, eq=False, repr=False)
class DurationLevel:
    """A range of concurrency, up to ``max_concurrency``, with the same duration of executions.

    ``log_duration`` is its logarithm, from ``count`` executions.
    """

    max_concurrency: int
    log_duration: float
    count: int


def duration_levels(durations: Sequence[Ewma]) -> list[DurationLevel]:
    """Return levels of which each has a clearly longer duration than the one before.

    This is the pool adjacent violators algorithm, with a minimum step between two levels.
    Neighbouring numbers are pooled until there are ``MIN_SAMPLES`` executions; the rest at the top
    is not used yet.
    """
    levels: list[DurationLevel] = []
    value, count = 0.0, 0
    for concurrency, duration in enumerate(durations, 1):
        value, count = pooled_mean(
            value, count, duration.value, min(duration.count, round(1 / WEIGHT))
        )
        if count < MIN_SAMPLES:
            continue
        level = DurationLevel(concurrency, value, count)
        while levels and levels[-1].log_duration + MIN_STEP >= level.log_duration:
            below = levels.pop()
            level.log_duration, level.count = pooled_mean(
                below.log_duration, below.count, level.log_duration, level.count
            )
        levels.append(level)
        value, count = 0.0, 0
    return levels


def pooled_mean(
    first: float, first_count: int, second: float, second_count: int
) -> tuple[float, int]:
    """Return the mean of two means and the total number of samples."""
    total = first_count + second_count
    return ((first * first_count + second * second_count) / total if total else 0.0), total


def relative_duration(levels: Sequence[DurationLevel], concurrency: int) -> float:
    """Return the duration of executions at a concurrency, relative to a fixed unit."""
    found = next((level for level in levels if concurrency <= level.max_concurrency), None)
    return math.exp(found.log_duration if found else levels[-1].log_duration) if levels else 1.0
