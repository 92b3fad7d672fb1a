"""A limit just below where a backend server becomes slow because it is nearly full."""

import attrs

from marjoramtide.policy._smoothed import Smoothed
from marjoramtide.policy.admission._limiter import Limiter

# Shares of the slots that are tried as a limit. Servers that slow down when nearly full commonly do
# so in the last quarter; a lower limit would give away more than it could gain.
LEVELS = (0.7, 0.8, 0.9, 1.0)
# The level of a server that nothing is known of yet, and the executions under pressure after which
# the next one is tried.
FIRST_LEVEL = 1
CLIMB_AFTER = 40
# Executions that must have ended in a band before it is judged. Single times differ by a third of
# their mean; the mean of thirty is known to some 6%. Ten are enough to see a band that is slower by
# CLEARLY_SLOWER, three times the error of their mean.
ENOUGH = 30
FEW = 10
CLEARLY_SLOWER = 1.35
WEIGHT = 0.03
# A lower limit must do this much more work to be taken, so that chance doesn't move the limit.
CLEARLY = 1.07
# Executions after which higher limits are tried again: a knee may have gone.
TRY_AGAIN = 4000


@attrs.define(slots=True)
class KneeLimiter(Limiter):
    """Finds the number of requests at once with which a backend server does the most.

    Failure: a server takes 1.7 times as long for everything while over four fifths of its slots are
    in use. Under pressure all slots are, so each answer is late and the server does a fifth less
    than with the last slots left empty. What is done in a second is the number that run over the
    time that one takes, so the bands of concurrency are compared by that; a band without enough
    executions is taken to be as quick as the one below it.

    It begins below the knee that servers commonly have and tries more under pressure. Failure: all
    nodes start again amid their traffic, with every slot given out. What comes takes 1.7 times as
    long from the first moment on, and a server that was loaded by half is full.
    """

    slots: int
    bands: list[Smoothed] = attrs.Factory(lambda: [Smoothed(WEIGHT, WEIGHT) for _ in LEVELS])
    level: int = FIRST_LEVEL
    pressed: int = 0
    since_lowered: int = 0

    @property
    def limit(self) -> int:
        return self._limit_at(self.level)

    def _limit_at(self, level: int) -> int:
        return max(1, int(LEVELS[level] * self.slots + 1e-9))

    def observe(self, duration_ms: float, pressed: bool, succeeded: bool, running: int = 1) -> None:
        if not succeeded:
            return
        band = next(
            (level for level in range(len(LEVELS)) if running <= self._limit_at(level)),
            len(LEVELS) - 1,
        )
        self.bands[band].add(duration_ms)
        self.pressed += pressed
        self._lower()
        self._climb()

    def _lower(self) -> None:
        """Go down to the level at which the most is done, where that is clear."""
        known_ms = 0.0
        done = []
        for level, band in enumerate(self.bands):
            if self._is_judged(band, known_ms):
                known_ms = max(known_ms, band.value)
            done.append(self._limit_at(level) / known_ms if known_ms else 0.0)
        best = max(range(len(LEVELS)), key=lambda level: done[level])
        if best < self.level and done[best] > CLEARLY * done[self.level]:
            self.level = best
            self.since_lowered = self.pressed = 0

    def _is_judged(self, band: Smoothed, below_ms: float) -> bool:
        if band.count >= FEW and below_ms and band.value > CLEARLY_SLOWER * below_ms:
            return True
        return band.count >= ENOUGH

    def _climb(self) -> None:
        """Try the next level where this one has been pressed against and that one isn't known."""
        if self.level == len(LEVELS) - 1:
            return
        self.since_lowered += 1
        if self.since_lowered > TRY_AGAIN:
            self.since_lowered = 0
            for level in range(self.level + 1, len(LEVELS)):
                self.bands[level] = Smoothed(WEIGHT, WEIGHT)
        below_ms = self.bands[self.level].value
        if self.pressed >= CLIMB_AFTER and not self._is_judged(
            self.bands[self.level + 1], below_ms
        ):
            self.level += 1
            self.pressed = 0
