"""How long a backend server takes for one execution."""

import attrs

from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.admission._kind_times import KindTimes
from marjoramtide.policy.pace import stall_threshold_ms, stalled_ms

UNKNOWN = KindTimes()


@attrs.define(slots=True, eq=False, repr=False)
class ExecutionTimes:
    """The smoothed time of executions, and the tickets that run now.

    Times are those of undisturbed work where ``pace`` tells how many times longer it takes now;
    ``usual`` is how long each of the running ones may well take, at the pace with which it began.

    ``mean`` is over all of them and tells how soon slots free; ``kinds`` holds the times of each
    kind of request. Failure without them: surveys of two seconds make the only estimate, so an
    urgent lookup of twenty milliseconds is refused as too long for its deadline.
    """

    mean: Ewma = attrs.Factory(lambda: Ewma(0.2, 0.2))
    kinds: dict[str, KindTimes] = attrs.Factory(dict)
    success: Ewma = attrs.Factory(lambda: Ewma(0.1, 0.1, 1.0, 1))
    running: dict[int, float] = attrs.Factory(dict)
    usual: dict[int, float] = attrs.Factory(dict)
    paces: dict[int, float] = attrs.Factory(dict)
    reference: KindTimes | None = None
    last_end: float = 0.0
    pace: float = 1.0

    def kind(self, name: str) -> KindTimes:
        """Return the times of a kind, empty where it is new."""
        return self.kinds.get(name) or UNKNOWN

    def start(self, ticket: int, now: float, kind: str) -> None:
        self.running[ticket] = now
        self.paces[ticket] = self.pace
        self.usual[ticket] = max(self.mean.value, self.kind(kind).mean.value) * self.pace

    def end(self, ticket: int, now: float) -> float | None:
        """Forget a ticket; return the milliseconds it ran, or ``None`` if it didn't run.

        They are those of undisturbed work, reckoned by the pace with which it began.
        """
        self.usual.pop(ticket, None)
        pace = self.paces.pop(ticket, 1.0)
        started = self.running.pop(ticket, None)
        if started is None:
            return None
        self.last_end = now
        return (now - started) * 1000 / pace

    def learn(self, duration_ms: float, succeeded: bool, kind: str) -> None:
        """Take in an execution that came to its end."""
        self.success.add(1.0 if succeeded else 0.0)
        # Quick errors aren't speed: a server that fails fast would otherwise report the shortest
        # service time of all and draw everyone's requests.
        if succeeded or duration_ms > self.mean.value:
            self.mean.add(duration_ms)
        if succeeded:
            times = self.kinds.setdefault(kind, KindTimes())
            self.reference = self.reference or times
            times.learn(duration_ms)

    def comparable_ms(self, duration_ms: float, kind: str) -> float:
        """Return what the duration would be for the first kind seen, from their long-run times.

        Failure without it: after a run of short requests a few long ones look like a server that
        has turned slow, and its limit is cut.
        """
        base = self.kind(kind).base.value
        if self.reference is None or base <= 0:
            return duration_ms
        return duration_ms * self.reference.base.value / base

    def learn_at_least(self, duration_ms: float) -> None:
        """Take in an execution that was cancelled: it would have taken longer than this.

        Without it, a server that hangs until each caller gives up would keep the service time of
        its last good answer.
        """
        if duration_ms > self.mean.value:
            self.mean.add(duration_ms)

    def expected_ms(self, now: float) -> float:
        """Return the service time expected at this moment, 0 while unknown.

        The running ones count as evidence before they end, see ``silence_ms``.
        """
        return max(self.mean.value * self.pace, self.silence_ms(now))

    def silence_ms(self, now: float) -> float:
        """Return for how long the running ones have been owed beyond what is usual."""
        oldest = next(iter(self.running.values()), None)
        return stalled_ms(oldest, self.last_end, len(self.running), self.usual_ms(), now)

    def usual_ms(self) -> float:
        """Return how long the oldest running one may well take."""
        ticket = next(iter(self.running), None)
        own_ms = self.usual.get(ticket, 0.0) if ticket is not None else 0.0
        return max(self.mean.value, own_ms)

    def stalls_at(self) -> float | None:
        """Return when the running ones become overdue if none of them ends, in seconds."""
        if not self.running or not self.mean.value:
            return None
        oldest = next(iter(self.running.values()))
        patience = stall_threshold_ms(len(self.running), self.usual_ms()) / 1000
        return max(oldest, self.last_end) + patience
