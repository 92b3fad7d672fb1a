"""How much the neighbours on a backend server's instance slow it down, and until when."""

import math
from collections import deque
from itertools import islice

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.pace._change_grid import ChangeGrid, Window, fit_grid
from marjoramtide.policy.pace._duration_history import DurationHistory
from marjoramtide.policy.pace._pace import SLOW, Pace

# Figures that differ by less than this factor are the same state.
SAME_STATE = 1.15
# A change seen between two looks further apart than this, in seconds, says too little of when.
SHARP_S = 0.06
# Between two looks while no grid is known, in seconds. With a grid there is one look before and one
# after each of its times, as far aside as that time may be off: a change falls between the two. A
# timer that fires a little early counts as on time.
SEARCH_S = 0.025
LEAST_ASIDE_S = 0.006
MOST_ASIDE_S = 0.028
EARLY_S = 0.002
MISSES_BORNE = 4
CHANGES_KEPT = 24
# How far back the slowdown is known, in seconds: longer than any request runs, and than the slow
# stretches after which a server's quickest state must still be known.
HISTORY_S = 12.0
# What was told is gone by for so many times the usual distance between two looks.
LOOKS_MISSED = 4.0
# What a server's own best may be at most: cold ones were seen to take twice as long. Above it, the
# first figure that a node reads is one of a slowed server.
COLD_AT_MOST = 2.5
# Over how long, in seconds, the usual slowdown is taken: many stretches of some tenths of one.
USUAL_OVER_S = 8.0


@attrs.define(slots=True, eq=False, repr=False)
class Interference:
    """What a backend server says of its neighbours, followed over time.

    ``slowdown`` is the factor by which work takes longer now. Neighbours come and go in stretches;
    on many instances the stretches begin at fixed times, since schedulers give out quotas by the
    period. Where the changes seen so far fit such a grid, the next moment at which anything may
    change is known: until then a quick server stays quick, and a request that ends before is safe.

    Failure without it: a server that has just been read as quick turns slow a few milliseconds
    later, and the booking that was sent there takes four times as long.
    """

    slowdown: float = 1.0
    usual_slowdown: float = 1.0
    seen_at: float | None = None
    grid: ChangeGrid | None = None
    misses: int = 0
    changes: deque[Window] = attrs.Factory(lambda: deque(maxlen=CHANGES_KEPT))
    history: deque[tuple[float, float]] = attrs.Factory(deque)
    slow_since: float | None = None
    stretches: DurationHistory = attrs.Factory(DurationHistory)
    states: DurationHistory = attrs.Factory(DurationHistory)
    gap_s: Ewma = attrs.Factory(lambda: Ewma(0.2, 0.2))

    @property
    def has_observations(self) -> bool:
        """Tell whether the backend server has said anything of its pace."""
        return self.seen_at is not None

    def observe(self, slowdown: float, now: float) -> bool:
        """Take in a figure read at ``now``, in seconds; tell whether it has changed."""
        slowdown = max(slowdown, 0.01)
        before, self.seen_at = self.seen_at, now
        if before is None:
            self._begin(slowdown, now)
            return True
        gap = now - before
        self.gap_s.add(gap)
        self.usual_slowdown += (self.slowdown - self.usual_slowdown) * (
            1 - math.exp(-gap / USUAL_OVER_S)
        )
        if max(slowdown, self.slowdown) < SAME_STATE * min(slowdown, self.slowdown):
            return False
        changed_at = self._changed_at(before, now)
        if gap <= SHARP_S:
            self.changes.append((before, now))
            self.grid = fit_grid(list(self.changes)) or self.grid
            self.misses = 0
        elif self.grid is not None:
            self._missed()
        self._begin(slowdown, changed_at)
        return True

    def _missed(self) -> None:
        """Note a change between two looks that the grid chose: at a time when none should be.

        One may come of a late look. Several show that the grid is wrong; it is sought anew.
        """
        self.misses += 1
        if self.misses > MISSES_BORNE:
            self.misses = 0
            self.grid = None
            self.changes.clear()

    def _changed_at(self, before: float, now: float) -> float:
        """Return when a change between two looks probably took place."""
        if self.grid is not None:
            expected = self.grid.next_after(before)
            if expected <= now:
                return expected
        return (before + now) / 2

    def _begin(self, slowdown: float, at: float) -> None:
        self._note_stretch(slowdown, at)
        self.slowdown = slowdown
        self.history.append((at, slowdown))
        while len(self.history) > 1 and self.history[1][0] < at - HISTORY_S:
            self.history.popleft()

    def _note_stretch(self, slowdown: float, at: float) -> None:
        """Note how long the state that ends at ``at`` has lasted, and the slow stretch it is of."""
        if self.history:
            self.states.note(at - self.history[-1][0])
        is_slow = slowdown >= SLOW * self.best_slowdown(at)
        if is_slow and self.slow_since is None:
            self.slow_since = at
        elif not is_slow and self.slow_since is not None:
            self.stretches.note(at - self.slow_since)
            self.slow_since = None

    def best_slowdown(self, now: float) -> float:
        """Return the quickest state of late: above 1 on a server that is still cold.

        Failure without it: a server that has just started takes twice as long for some seconds. It
        passes for slowed by neighbours, and requests wait for a change that does not come.
        """
        ends = (*(at for at, _ in islice(self.history, 1, None)), now)
        states = zip(ends, self.history, strict=bool(self.history))
        late = (state for end, (_, state) in states if end >= now - HISTORY_S)
        return min(COLD_AT_MOST, min(late, default=1.0))

    def pace(self, now: float) -> Pace:
        """Return the pace of work that begins now."""
        holds_s = self.holds_s(now)
        best_slowdown = self.best_slowdown(now)
        told_at = now if self.seen_at is None else self.seen_at
        return Pace(
            slowdown=self.slowdown,
            holds_until=None if holds_s is None else now + holds_s,
            usual_slowdown=max(self.usual_slowdown, best_slowdown),
            best_slowdown=best_slowdown,
            slow_since=now if self.slow_since is None else self.slow_since,
            trusted_until=told_at + LOOKS_MISSED * max(self.gap_s.value, SEARCH_S),
            stretches=self.stretches,
        )

    def annotate(self, report: LoadReport, now: float) -> LoadReport:
        """Return a report with what is known of the pace, and the time of undisturbed work."""
        if not self.has_observations:
            return report
        pace = self.pace(now)
        return attrs.evolve(
            report,
            service_time_ms=report.service_time_ms / pace.slowdown,
            slowdown=pace.slowdown,
            holds_ms=-1.0 if self.grid is None else pace.recovers_in_ms(now),
            period_ms=1000 * (self.states.mean_s if self.grid is None else self.grid.period),
            usual_slowdown=pace.usual_slowdown,
        )

    def holds_s(self, now: float) -> float | None:
        """Return for how many seconds the slowdown stays as it is, ``None`` while unknown."""
        return None if self.grid is None else self.grid.next_after(now) - now

    def preferred_read_at(self, now: float) -> float:
        """Return when a look at the figure is worth most, in seconds."""
        last = self.seen_at if self.seen_at is not None else now - SEARCH_S
        if self.grid is None:
            return last + SEARCH_S
        due = self.grid.next_after(last - MOST_ASIDE_S)
        if last >= due + self._aside(self.grid, due) - EARLY_S:
            due = self.grid.next_after(due + EARLY_S)
        if self.grid.error_at(due) > MOST_ASIDE_S:
            # Nothing has changed for long, and where the grid is by now has become vague.
            return last + SEARCH_S
        aside = self._aside(self.grid, due)
        return due - aside if last < due - aside - EARLY_S else due + aside

    def _aside(self, grid: ChangeGrid, due: float) -> float:
        """Return how far from a time of the grid the looks before and after it are to be.

        Late looks let the grid slide until changes fall outside its pairs of looks, where they
        can't put it right. The widest pairs catch the next ones.
        """
        if self.misses:
            return MOST_ASIDE_S
        return min(max(grid.error_at(due), LEAST_ASIDE_S), MOST_ASIDE_S)

    def work_ms(self, began: float, ended: float) -> float:
        """Return how long what ran between two times, in seconds, would have taken undisturbed.

        What begins on a slowed server runs slowly to its end, see ``run_ms``.
        """
        at_begin = (slowdown for at, slowdown in reversed(self.history) if at <= began)
        return (ended - began) * 1000 / next(at_begin, 1.0)
