"""How long a backend server takes for one execution."""

import attrs

from marjoramtide.policy._silence import patience_ms, silence_ms
from marjoramtide.policy._smoothed import Smoothed


@attrs.define(slots=True)
class ExecutionTimes:
    """The smoothed time of executions, and the tickets that run now.

    ``quick`` follows the low end of the times: what less than
    this remains for can't finish even when the server is at its best.
    """

    mean: Smoothed = attrs.Factory(lambda: Smoothed(0.2, 0.2))
    quick: Smoothed = attrs.Factory(lambda: Smoothed(0.01, 0.3))
    success: Smoothed = attrs.Factory(lambda: Smoothed(0.1, 0.1, 1.0, 1))
    running: dict[int, float] = attrs.Factory(dict)
    last_end: float = 0.0

    def start(self, ticket: int, now: float) -> None:
        self.running[ticket] = now

    def end(self, ticket: int, now: float) -> float | None:
        """Forget a ticket; return the milliseconds it ran, or ``None`` if it didn't run."""
        started = self.running.pop(ticket, None)
        if started is None:
            return None
        self.last_end = now
        return (now - started) * 1000

    def learn(self, duration_ms: float, succeeded: bool) -> None:
        """Take in an execution that came to its end."""
        self.success.add(1.0 if succeeded else 0.0)
        # Quick errors aren't speed: a server that fails fast would otherwise report the shortest
        # service time of all and draw everyone's requests.
        if succeeded or duration_ms > self.mean.value:
            self.mean.add(duration_ms)
        if succeeded:
            self.quick.add(duration_ms)

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
        return max(self.mean.value, self.silence_ms(now))

    def silence_ms(self, now: float) -> float:
        """Return for how long the running ones have been owed beyond what is usual."""
        oldest = next(iter(self.running.values()), None)
        return silence_ms(oldest, self.last_end, len(self.running), self.mean.value, now)

    def stalls_at(self) -> float | None:
        """Return when the running ones become overdue if none of them ends, in seconds."""
        if not self.running or not self.mean.value:
            return None
        oldest = next(iter(self.running.values()))
        patience = patience_ms(len(self.running), self.mean.value) / 1000
        return max(oldest, self.last_end) + patience
