"""Whether a request should wait until its server may be quicker."""

import attrs

from marjoramtide.policy.pace._run_forecast import run_ms

# A server that takes so many times longer than at its best counts as slow: above what many busy
# slots do to each other, below what a neighbour that takes the processor does.
SLOW = 1.5
# How long after a time of change, in seconds, the look that tells of it is waited for. Looks come
# 6 to 28 ms after it and take some milliseconds; where none comes, its reader has failed.
LOOK_S = 0.06
# Up to which length, in seconds, a slow stretch is taken for a short one where nothing else is
# known. Two periods of the schedulers seen so far, 0.3 s each.
SHORT_S = 0.6


@attrs.define(slots=True)
class Pace:
    """How many times longer work takes on a backend server now, until when, and on the mean.

    ``since`` and ``holds_until`` are in seconds of the monotonic clock, the latter ``None`` while
    it isn't known. ``best`` is how many times longer work takes at the server's quickest of late.
    """

    slowdown: float = 1.0
    holds_until: float | None = None
    usual: float = 1.0
    best: float = 1.0
    since: float = 0.0

    @property
    def is_slow(self) -> bool:
        """Tell whether neighbours slow the server down."""
        return self.slowdown >= SLOW * self.best

    def holds_ms(self, now: float) -> float | None:
        """Return for how long the pace stays, in milliseconds; ``None`` while it isn't known."""
        return None if self.holds_until is None else max(0.0, self.holds_until - now) * 1000

    def run_ms(self, work_ms: float) -> float:
        """Return how long work that begins now will take, in milliseconds."""
        return work_ms * self.slowdown

    def waits_until(self, work_ms: float, now: float) -> float | None:
        """Return until when work should wait, in seconds; ``None`` where it should begin now.

        Failure: a request that begins while its server is slow takes four times as long to its very
        end, and holds its slot for as long, although the server is quick again some tenths of a
        second later. It waits where it is then expected to end sooner. Just after a time at which
        the pace may change, whatever it has been, it waits for the look that tells: some
        milliseconds against a chance of a quarter to a third of running four times as long.
        """
        until = self.holds_until
        if until is None:
            return self._blind_until(work_ms, now)
        if now >= until + LOOK_S:
            return None
        if now >= until:
            risk_ms = work_ms * (self.usual - 1)
            left_ms = (until + LOOK_S - now) * 1000
            return until + LOOK_S if risk_ms > left_ms else None
        slow_ms = self.run_ms(work_ms)
        waits = self.is_slow and run_ms(work_ms, self.slowdown, self.holds_ms(now), self.usual)
        return until if waits and waits < slow_ms else None

    def _blind_until(self, work_ms: float, now: float) -> float | None:
        """Return until when to wait where nobody knows when the pace may change.

        Failure: all nodes lose power and start again, and know for three seconds neither when their
        servers' pace changes nor for how long it stays. A third of what comes begins on a slowed
        server, fills its slots for a second, and the rest finds no room. Neighbours' work comes in
        short stretches; what has been slow for longer is taken to stay so.
        """
        until = self.since + SHORT_S
        if not self.is_slow or now >= until:
            return None
        # On the mean a short stretch is over halfway.
        waits_ms = (until - now) * 1000 / 2 + work_ms * self.best
        return until if waits_ms < self.run_ms(work_ms) else None
