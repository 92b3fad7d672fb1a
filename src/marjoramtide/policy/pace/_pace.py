"""Whether a request should wait until its server may be quicker."""

import math

import attrs

from marjoramtide.policy.pace._duration_history import DurationHistory
from marjoramtide.policy.pace._run_forecast import run_ms

# A server that takes so many times longer than at its best counts as slow: above what many busy
# slots do to each other, below what a neighbour that takes the processor does.
SLOW = 1.5
# How long after a time of change, in seconds, the look that tells of it is waited for. Looks come
# 6 to 28 ms after it and take some milliseconds; where none comes, its reader has failed.
LOOK_S = 0.06


@attrs.define(slots=True, eq=False, repr=False)
class Pace:
    """How many times longer work takes on a backend server now, until when, and on the mean.

    ``since``, ``holds_until`` and ``trusted_until`` are in seconds of the monotonic clock.
    ``holds_until`` is when the pace may next change, ``None`` while that isn't known;
    ``slow_since`` when the server turned slow. ``best_slowdown`` is how many times longer work
    takes at the server's quickest, and ``stretches`` how long it was slow before. After
    ``trusted_until`` nobody has told of the pace for so long that it is not gone by.
    """

    slowdown: float = 1.0
    holds_until: float | None = None
    usual_slowdown: float = 1.0
    best_slowdown: float = 1.0
    slow_since: float = 0.0
    trusted_until: float = math.inf
    stretches: DurationHistory = attrs.Factory(DurationHistory)

    @property
    def is_slow(self) -> bool:
        """Tell whether neighbours slow the server down."""
        return self.slowdown >= SLOW * self.best_slowdown

    @property
    def decide_again_at(self) -> float:
        """Return when to decide anew, in seconds, if nobody has told of the pace by then."""
        until = self.holds_until
        return self.trusted_until if until is None else until + LOOK_S

    def recovers_in_ms(self, now: float) -> float:
        """Return after how many milliseconds a slow server may be quick again."""
        if self.holds_until is not None:
            return max(0.0, self.holds_until - now) * 1000
        return self.stretches.remaining_s(max(0.0, now - self.slow_since)) * 1000

    def run_ms(self, work_ms: float) -> float:
        """Return how long work that begins now will take, in milliseconds."""
        return work_ms * self.slowdown

    def earliest_end_ms(self, work_ms: float, now: float) -> float:
        """Return when work may be done that begins now, or that waits where it then ends sooner.

        The quick pace is reckoned with: what would only be late at the usual one still has a good
        chance, and nobody else has taken it.
        """
        if not self.should_wait(work_ms, now):
            return self.run_ms(work_ms)
        return self.recovers_in_ms(now) + work_ms * self.best_slowdown

    def should_wait(self, work_ms: float, now: float) -> bool:
        """Tell whether work should wait for a change of pace rather than begin now.

        Failure: a request that begins while its server is slow takes four times as long to its very
        end, and holds its slot for as long, although the server is quick again some tenths of a
        second later. It waits where it is then expected to end sooner. Just after a time at which
        the pace may change, whatever it has been, it waits for the look that tells: some
        milliseconds against a chance of a quarter to a third of running four times as long.
        """
        if now >= self.decide_again_at:
            return False
        if self.holds_until is not None and now >= self.holds_until:
            risk_ms = work_ms * (self.usual_slowdown - 1)
            return risk_ms > (self.decide_again_at - now) * 1000
        if not self.is_slow:
            return False
        # Where the times of change are known, the server may still be slow after the next one.
        # Elsewhere the stretches that are reckoned with last until it is quick.
        after = self.best_slowdown if self.holds_until is None else self.usual_slowdown
        return run_ms(work_ms, self.slowdown, self.recovers_in_ms(now), after) < self.run_ms(
            work_ms
        )
