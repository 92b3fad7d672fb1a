"""Execution times of a backend server."""

import attrs

from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.admission._kind_times import KindTimes
from marjoramtide.policy.pace import stall_threshold_ms, stalled_ms

UNKNOWN = KindTimes()


@attrs.define(slots=True, eq=False, repr=False)
class ExecutionTimes:
    """The smoothed execution times, and the running tickets.

    Times are those of undisturbed work if ``slowdown`` tells how many times longer it takes now;
    ``expected_run_ms`` is how long each running ticket may be expected to take, at the slowdown
    with which it started.

    ``mean`` covers all executions and tells how soon slots become free; ``kinds`` holds the times
    of each kind of request. Failure without them: surveys of two seconds dominate the only
    estimate, so an urgent lookup of twenty milliseconds is rejected as too long for its deadline.
    """

    mean: Ewma = attrs.Factory(lambda: Ewma(0.2, 0.2))
    kinds: dict[str, KindTimes] = attrs.Factory(dict)
    success: Ewma = attrs.Factory(lambda: Ewma(0.1, 0.1, 1.0, 1))
    running: dict[int, float] = attrs.Factory(dict)
    expected_run_ms: dict[int, float] = attrs.Factory(dict)
    start_slowdowns: dict[int, float] = attrs.Factory(dict)
    reference: KindTimes | None = None
    last_end: float = 0.0
    slowdown: float = 1.0

    def kind(self, name: str) -> KindTimes:
        """Return the times of a kind, empty if it is new."""
        return self.kinds.get(name) or UNKNOWN

    def start(self, ticket: int, now: float, kind: str) -> None:
        self.running[ticket] = now
        self.start_slowdowns[ticket] = self.slowdown
        self.expected_run_ms[ticket] = (
            max(self.mean.value, self.kind(kind).mean.value) * self.slowdown
        )

    def end(self, ticket: int, now: float) -> float | None:
        """Remove a ticket; return the milliseconds it ran, or ``None`` if it didn't run.

        They are those of undisturbed work, computed with the slowdown at its start.
        """
        self.expected_run_ms.pop(ticket, None)
        slowdown = self.start_slowdowns.pop(ticket, 1.0)
        started = self.running.pop(ticket, None)
        if started is None:
            return None
        self.last_end = now
        return (now - started) * 1000 / slowdown

    def add(self, duration_ms: float, succeeded: bool, kind: str) -> None:
        """Record an execution that ended by itself."""
        self.success.add(1.0 if succeeded else 0.0)
        # Fast errors don't count as speed: a server that fails fast would otherwise report the
        # shortest service time of all and attract everyone's requests.
        if succeeded or duration_ms > self.mean.value:
            self.mean.add(duration_ms)
        if succeeded:
            times = self.kinds.setdefault(kind, KindTimes())
            self.reference = self.reference or times
            times.add(duration_ms)

    def comparable_ms(self, duration_ms: float, kind: str) -> float:
        """Return the duration scaled to the first kind seen, by their long-run times.

        Failure without it: after many short requests a few long ones look like a server that has
        become slow, and its limit is lowered.
        """
        base = self.kind(kind).base.value
        if self.reference is None or base <= 0:
            return duration_ms
        return duration_ms * self.reference.base.value / base

    def add_cancelled(self, duration_ms: float) -> None:
        """Record an execution that was cancelled: it would have taken longer than this.

        Without it, a server that hangs until each caller gives up would keep the service time of
        its last good response.
        """
        if duration_ms > self.mean.value:
            self.mean.add(duration_ms)

    def expected_ms(self, now: float) -> float:
        """Return the service time expected at this moment, 0 if unknown.

        The running executions count as evidence before they end, see ``silence_ms``.
        """
        return max(self.mean.value * self.slowdown, self.silence_ms(now))

    def silence_ms(self, now: float) -> float:
        """Return by how long the running executions are overdue."""
        oldest = next(iter(self.running.values()), None)
        return stalled_ms(oldest, self.last_end, len(self.running), self.oldest_expected_ms(), now)

    def oldest_expected_ms(self) -> float:
        """Return how long the oldest running execution may be expected to take."""
        ticket = next(iter(self.running), None)
        own_ms = self.expected_run_ms.get(ticket, 0.0) if ticket is not None else 0.0
        return max(self.mean.value, own_ms)

    def stalls_at(self) -> float | None:
        """Return when the running executions become overdue if none of them ends, in seconds."""
        if not self.running or not self.mean.value:
            return None
        oldest = next(iter(self.running.values()))
        patience = stall_threshold_ms(len(self.running), self.oldest_expected_ms()) / 1000
        return max(oldest, self.last_end) + patience
