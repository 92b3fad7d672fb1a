"""Tracking of the slowdown that neighbours on its instance cause to a backend server."""

import math
from collections import deque
from itertools import islice

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.pace._change_grid import ChangeGrid, Window, fit_grid
from marjoramtide.policy.pace._duration_history import DurationHistory
from marjoramtide.policy.pace._pace import SLOW_FACTOR, Pace

# Slowdowns that differ by less than this factor are the same state.
SAME_STATE_FACTOR = 1.15
# A change between two reads further apart than this isn't precise enough to fit a grid.
MAX_WINDOW_S = 0.06
# The interval of reads while no grid is known. With a grid there is one read before and one after
# each of its times, offset by the maximum error of that time, so that a change falls between them.
SEARCH_INTERVAL_S = 0.025
MIN_READ_OFFSET_S = 0.006
MAX_READ_OFFSET_S = 0.028
# A timer that fires this much early counts as on time.
TIMER_TOLERANCE_S = 0.002
MAX_MISSED_CHANGES = 4
MAX_CHANGES = 24
# For how long slowdowns are kept: longer than any request runs, and longer than the slow intervals
# after which a server's fastest state must still be known.
HISTORY_S = 12.0
# A slowdown is trusted for this many mean intervals between reads.
TRUSTED_INTERVALS = 4.0
# The highest slowdown that can be a server's best: a cold server takes twice as long. A first
# reading above it shows a server that is slowed by neighbours.
MAX_BEST_SLOWDOWN = 2.5
# The time constant of the usual slowdown: many intervals of some tenths of a second.
USUAL_TIME_CONSTANT_S = 8.0


@attrs.define(slots=True, eq=False, repr=False)
class Interference:
    """Tracks the slowdown that a backend server reports.

    ``slowdown`` is the factor by which work takes longer now. On many instances it changes at fixed
    times, since schedulers assign processor quotas by the period. If the changes observed so far
    fit such a grid, the next time at which the slowdown may change is known: until then a fast
    server stays fast, and a request that ends before then is safe.

    Without the prediction a server that has just been read as fast may turn slow a few milliseconds
    later, and a booking sent there takes four times as long.
    """

    slowdown: float = 1.0
    usual_slowdown: float = 1.0
    observed_at: float | None = None
    grid: ChangeGrid | None = None
    missed_changes: int = 0
    changes: deque[Window] = attrs.Factory(lambda: deque(maxlen=MAX_CHANGES))
    history: deque[tuple[float, float]] = attrs.Factory(deque)
    slow_since: float | None = None
    slow_durations: DurationHistory = attrs.Factory(DurationHistory)
    state_durations: DurationHistory = attrs.Factory(DurationHistory)
    read_interval_s: Ewma = attrs.Factory(lambda: Ewma(0.2, 0.2))

    @property
    def has_observations(self) -> bool:
        """Return whether the backend server has reported a slowdown."""
        return self.observed_at is not None

    def observe(self, slowdown: float, now: float) -> bool:
        """Record a slowdown read at ``now``, in seconds; return whether it has changed."""
        slowdown = max(slowdown, 0.01)
        before, self.observed_at = self.observed_at, now
        if before is None:
            self._begin_state(slowdown, now)
            return True
        gap = now - before
        self.read_interval_s.add(gap)
        self.usual_slowdown += (self.slowdown - self.usual_slowdown) * (
            1 - math.exp(-gap / USUAL_TIME_CONSTANT_S)
        )
        if max(slowdown, self.slowdown) < SAME_STATE_FACTOR * min(slowdown, self.slowdown):
            return False
        changed_at = self._changed_at(before, now)
        if gap <= MAX_WINDOW_S:
            self.changes.append((before, now))
            self.grid = fit_grid(list(self.changes)) or self.grid
            self.missed_changes = 0
        elif self.grid is not None:
            self._note_missed_change()
        self._begin_state(slowdown, changed_at)
        return True

    def _note_missed_change(self) -> None:
        """Count a change between two reads at a time that isn't on the grid.

        One may be due to a late read. Several show that the grid is wrong and has to be detected
        again.
        """
        self.missed_changes += 1
        if self.missed_changes > MAX_MISSED_CHANGES:
            self.missed_changes = 0
            self.grid = None
            self.changes.clear()

    def _changed_at(self, before: float, now: float) -> float:
        """Return when a change between two reads probably took place."""
        if self.grid is not None:
            expected = self.grid.next_after(before)
            if expected <= now:
                return expected
        return (before + now) / 2

    def _begin_state(self, slowdown: float, at: float) -> None:
        self._record_durations(slowdown, at)
        self.slowdown = slowdown
        self.history.append((at, slowdown))
        while len(self.history) > 1 and self.history[1][0] < at - HISTORY_S:
            self.history.popleft()

    def _record_durations(self, slowdown: float, at: float) -> None:
        """Record the duration of the state that ends at ``at`` and of an ended slow interval."""
        if self.history:
            self.state_durations.add(at - self.history[-1][0])
        is_slow = slowdown >= SLOW_FACTOR * self.best_slowdown(at)
        if is_slow and self.slow_since is None:
            self.slow_since = at
        elif not is_slow and self.slow_since is not None:
            self.slow_durations.add(at - self.slow_since)
            self.slow_since = None

    def best_slowdown(self, now: float) -> float:
        """Return the lowest slowdown within the history: above 1 on a server that is still cold.

        A server that has just started takes twice as long for some seconds. Compared with 1 it
        would seem to be slowed by neighbours, and requests would wait for a change that doesn't
        come.
        """
        ends = (*(at for at, _ in islice(self.history, 1, None)), now)
        states = zip(ends, self.history, strict=bool(self.history))
        recent = (state for end, (_, state) in states if end >= now - HISTORY_S)
        return min(MAX_BEST_SLOWDOWN, min(recent, default=1.0))

    def pace(self, now: float) -> Pace:
        """Return the pace for work that begins now."""
        holds_s = self.holds_s(now)
        best_slowdown = self.best_slowdown(now)
        read_at = now if self.observed_at is None else self.observed_at
        return Pace(
            slowdown=self.slowdown,
            holds_until=None if holds_s is None else now + holds_s,
            usual_slowdown=max(self.usual_slowdown, best_slowdown),
            best_slowdown=best_slowdown,
            slow_since=now if self.slow_since is None else self.slow_since,
            trusted_until=read_at
            + TRUSTED_INTERVALS * max(self.read_interval_s.value, SEARCH_INTERVAL_S),
            slow_durations=self.slow_durations,
        )

    def annotate(self, report: LoadReport, now: float) -> LoadReport:
        """Return a report with the slowdown and the service time of undisturbed work."""
        if not self.has_observations:
            return report
        pace = self.pace(now)
        return attrs.evolve(
            report,
            service_time_ms=report.service_time_ms / pace.slowdown,
            slowdown=pace.slowdown,
            holds_ms=-1.0 if self.grid is None else pace.recovers_in_ms(now),
            period_ms=1000
            * (self.state_durations.mean_s if self.grid is None else self.grid.period),
            usual_slowdown=pace.usual_slowdown,
        )

    def holds_s(self, now: float) -> float | None:
        """Return for how many seconds the slowdown holds, ``None`` while unknown."""
        return None if self.grid is None else self.grid.next_after(now) - now

    def preferred_check_at(self, now: float) -> float:
        """Return the time, in seconds, at which the next health check is most informative."""
        last = self.observed_at if self.observed_at is not None else now - SEARCH_INTERVAL_S
        if self.grid is None:
            return last + SEARCH_INTERVAL_S
        due = self.grid.next_after(last - MAX_READ_OFFSET_S)
        if last >= due + self._read_offset_s(self.grid, due) - TIMER_TOLERANCE_S:
            due = self.grid.next_after(due + TIMER_TOLERANCE_S)
        if self.grid.error_at(due) > MAX_READ_OFFSET_S:
            # The last change was long ago, and the position of the grid has become uncertain.
            return last + SEARCH_INTERVAL_S
        offset_s = self._read_offset_s(self.grid, due)
        return due - offset_s if last < due - offset_s - TIMER_TOLERANCE_S else due + offset_s

    def _read_offset_s(self, grid: ChangeGrid, due: float) -> float:
        """Return the offset from a time of the grid of the reads before and after it.

        Late reads shift the grid until changes fall outside of the pairs of reads and can't correct
        it. After such a change the widest pairs are used to catch the next ones.
        """
        if self.missed_changes:
            return MAX_READ_OFFSET_S
        return min(max(grid.error_at(due), MIN_READ_OFFSET_S), MAX_READ_OFFSET_S)

    def work_ms(self, began: float, ended: float) -> float:
        """Return how long a run between two times, in seconds, would have taken undisturbed.

        A request that begins on a slowed server runs slowly to its end, see ``run_ms``.
        """
        at_begin = (slowdown for at, slowdown in reversed(self.history) if at <= began)
        return (ended - began) * 1000 / next(at_begin, 1.0)
