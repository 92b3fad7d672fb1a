"""The current speed of a backend server, and whether a request should wait for a better one."""

import math

import attrs

from marjoramtide.policy.pace._duration_history import DurationHistory
from marjoramtide.policy.pace._run_forecast import run_ms

# A server counts as slow at this multiple of its best slowdown: above what many busy slots cause
# among each other, below what a neighbour that takes the processor causes.
SLOW_FACTOR = 1.5
# How long, in seconds, a request waits after a possible change for the read that shows it. Reads
# follow within 6 to 28 ms and take some milliseconds; if none arrives, the reader has failed.
READ_WAIT_S = 0.06


@attrs.define(slots=True, eq=False, repr=False)
class Pace:
    """The factor by which work is slowed down now, until when, and on average.

    ``holds_until``, ``slow_since`` and ``trusted_until`` are in seconds of the monotonic clock.
    ``holds_until`` is when the slowdown may next change, ``None`` if unknown; ``slow_since`` is
    when the server turned slow. ``usual_slowdown`` is the mean, ``best_slowdown`` the lowest recent
    one, and ``slow_durations`` holds how long the server was slow before. After ``trusted_until``
    the slowdown hasn't been read for so long that decisions no longer rely on it.
    """

    slowdown: float = 1.0
    holds_until: float | None = None
    usual_slowdown: float = 1.0
    best_slowdown: float = 1.0
    slow_since: float = 0.0
    trusted_until: float = math.inf
    slow_durations: DurationHistory = attrs.Factory(DurationHistory)

    @property
    def is_slow(self) -> bool:
        """Return whether neighbours slow the server down."""
        return self.slowdown >= SLOW_FACTOR * self.best_slowdown

    @property
    def decide_again_at(self) -> float:
        """Return when to decide again, in seconds, if the slowdown isn't read before."""
        until = self.holds_until
        return self.trusted_until if until is None else until + READ_WAIT_S

    def recovers_in_ms(self, now: float) -> float:
        """Return the milliseconds until a slow server may be fast again."""
        if self.holds_until is not None:
            return max(0.0, self.holds_until - now) * 1000
        return self.slow_durations.remaining_s(max(0.0, now - self.slow_since)) * 1000

    def run_ms(self, work_ms: float) -> float:
        """Return the milliseconds that work that begins now will take."""
        return work_ms * self.slowdown

    def earliest_end_ms(self, work_ms: float, now: float) -> float:
        """Return the milliseconds until work ends that begins now, or later if it ends sooner then.

        The best slowdown is assumed: work that would be late only at the usual one still has a good
        chance, and no other node has accepted it.
        """
        if not self.should_wait(work_ms, now):
            return self.run_ms(work_ms)
        return self.recovers_in_ms(now) + work_ms * self.best_slowdown

    def should_wait(self, work_ms: float, now: float) -> bool:
        """Return whether work should wait for a change of speed rather than begin now.

        A request that begins on a slow server takes four times as long to its end, and occupies its
        slot for as long, although the server is fast again some tenths of a second later. It waits
        if it is then expected to end sooner. Just after a possible change, whatever the slowdown
        was before, it waits for the read that shows it: some milliseconds against a chance of a
        quarter to a third of running four times as long.
        """
        if now >= self.decide_again_at:
            return False
        if self.holds_until is not None and now >= self.holds_until:
            risk_ms = work_ms * (self.usual_slowdown - 1)
            return risk_ms > (self.decide_again_at - now) * 1000
        if not self.is_slow:
            return False
        # If the times of change are known, the server may still be slow after the next one.
        # Otherwise the expected interval lasts until it is fast.
        after = self.best_slowdown if self.holds_until is None else self.usual_slowdown
        return run_ms(work_ms, self.slowdown, self.recovers_in_ms(now), after) < self.run_ms(
            work_ms
        )
