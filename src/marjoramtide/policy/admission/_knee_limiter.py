"""A limit just below where a backend server becomes slow because it is nearly full."""

import math
from collections.abc import Sequence

import attrs

from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.admission._limiter import Limiter

# The share of the slots that a server begins with that nothing is known of yet. Those that slow
# down when nearly full do so in the last two fifths; what is too low is found out under pressure.
FIRST_SHARE = 0.8
# Executions that must have ended at some number at once before it is told from lower ones. Single
# times differ by a third of their mean to two thirds; the mean of eight is known to 12 to 24 in a
# hundred, and what is looked for is a third and more.
FEW = 8
# The weight of an execution among those of its number, once there are some.
WEIGHT = 0.05
# How much longer executions must take at a higher number at once to be told from those below, as a
# logarithm: a fifth. Less costs less than the slots are worth that would be left empty for it.
STEP = math.log(1.2)
# What a lower limit must do of what a higher one does to be taken: it answers sooner.
NEARLY = 0.97
# A shorter execution counts as one of this, in milliseconds: below what a timer can tell.
LEAST_MS = 0.1
# Executions under pressure after which the limit is chosen anew, as a multiple of the limit.
ROUNDS = 2
# Choices after which a lower limit is tried where nothing is known below, and how much lower it is:
# a server that was full from its first moment on may never have been seen below its knee.
TRY_LOWER = 5
LOWER = 0.75
# Executions after which higher limits are tried again: a knee may have gone.
TRY_AGAIN = 4000


@attrs.define(slots=True, eq=False, repr=False)
class KneeLimiter(Limiter):
    """Finds the number of requests at once with which a backend server does the most.

    Failure: a server takes 1.7 times as long for everything while over four fifths of its slots are
    in use. Under pressure all slots are, so each answer is late and the server does a fifth less
    than with the last slots left empty. What is done in a second is the number that run over the
    time that one takes. The time is kept for each number at once that executions began with, and
    taken to rise with it: where chance has it fall, neighbouring numbers count as one. Means are
    geometric, so that one execution of ten times the usual length doesn't pass for a knee.

    Under pressure the next higher number is tried unless it is known to be slower. Failure of
    beginning with all slots: all nodes start again amid their traffic, what comes takes 1.7 times
    as long from the first moment on, and a server that was loaded by half is full.
    """

    slots: int
    times: list[Ewma] = attrs.field()
    limit_now: int = attrs.field()
    pressed: int = 0
    since_lowered: int = 0
    choices: int = 0

    @times.default
    def _unknown_times(self) -> list[Ewma]:
        return [Ewma(WEIGHT, WEIGHT) for _ in range(self.slots)]

    @limit_now.default
    def _first_limit(self) -> int:
        return max(1, int(FIRST_SHARE * self.slots + 1e-9))

    @property
    def limit(self) -> int:
        return self.limit_now

    def fresh(self) -> Limiter:
        return KneeLimiter(self.slots)

    def observe(self, duration_ms: float, pressed: bool, succeeded: bool, running: int = 1) -> None:
        if not succeeded:
            return
        at_once = self.times[min(running, self.slots) - 1]
        at_once.add_mean(math.log(max(duration_ms, LEAST_MS)))
        self.pressed += pressed
        self.since_lowered += 1
        if self.since_lowered > TRY_AGAIN:
            self._forget_above()
        if self.pressed >= ROUNDS * self.limit_now:
            self.pressed = 0
            self._choose()

    def _choose(self) -> None:
        """Take the limit at which most is done, and try the next one where that isn't known."""
        levels = rising(self.times)
        self.choices += 1
        lower = max(1, int(LOWER * self.limit_now))
        known_below = sum(time.count for time in self.times[:lower])
        if self.choices == TRY_LOWER and len(levels) < 2 and known_below < FEW:
            self.limit_now = lower
            return
        best = self._best(levels)
        if best < self.limit_now:
            self.limit_now = best
            self.since_lowered = 0
        elif self.limit_now < self.slots and not self._is_slower_above(levels):
            self.limit_now += 1

    def _best(self, levels: "list[Level]") -> int:
        """Return the lowest limit that does nearly as much as any that is known.

        Of two limits that do the same the lower one answers sooner. Only ends of levels are looked
        at: inside of one a higher limit always does more.
        """
        ends = [*(level.most for level in levels[:-1]), self.limit_now]
        done = {end: end / ms_at(levels, end) for end in ends}
        return min(end for end in ends if done[end] >= NEARLY * max(done.values()))

    def _is_slower_above(self, levels: "list[Level]") -> bool:
        """Tell whether the next number at once is known to do less, executions being slower."""
        above = self.limit_now + 1
        if levels and levels[-1].most < above:
            return False
        return above / ms_at(levels, above) < self.limit_now / ms_at(levels, self.limit_now)

    def _forget_above(self) -> None:
        self.since_lowered = 0
        for number in range(self.limit_now, self.slots):
            self.times[number] = Ewma(WEIGHT, WEIGHT)


@attrs.define(slots=True, eq=False, repr=False)
class Level:
    """Numbers at once up to ``most`` at which executions take the same, as a logarithm.

    ``count`` is how many executions tell so.
    """

    most: int
    value: float
    count: int


def rising(times: Sequence[Ewma]) -> list[Level]:
    """Return levels of which each takes clearly longer than the one before.

    That is what is called pooling adjacent violators, with a least step between two levels.
    Neighbouring numbers are taken together until ``FEW`` executions are known of them; what is left
    above says nothing yet.
    """
    levels: list[Level] = []
    value, count = 0.0, 0
    for number, time in enumerate(times, 1):
        value, count = merged(value, count, time.value, min(time.count, round(1 / WEIGHT)))
        if count < FEW:
            continue
        level = Level(number, value, count)
        while levels and levels[-1].value + STEP >= level.value:
            below = levels.pop()
            level.value, level.count = merged(below.value, below.count, level.value, level.count)
        levels.append(level)
        value, count = 0.0, 0
    return levels


def merged(first: float, count: int, second: float, further: int) -> tuple[float, int]:
    """Return the mean of two means and the number that it is of."""
    total = count + further
    return ((first * count + second * further) / total if total else 0.0), total


def ms_at(levels: Sequence[Level], number: int) -> float:
    """Return how long executions take at a number at once, as a multiple of any fixed time."""
    found = next((level for level in levels if number <= level.most), None)
    return math.exp(found.value if found else levels[-1].value) if levels else 1.0
