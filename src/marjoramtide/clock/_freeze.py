"""Finding out that this process was stopped for a while."""

from collections.abc import Callable

from marjoramtide.clock._clock import Clock

TICK_S = 0.1
FREEZE_S = 0.5
RECOVERY_S = 0.1


class FreezeDetector:
    """Tells for a short while after a stop (SIGSTOP, a paused host) that there was one.

    A task ticks; a gap between two looks at the clock far above the tick's period means that the
    process did not run. Every look counts, so whoever acts first after the stop finds out, even
    before the tick itself runs. For ``RECOVERY_S`` after the gap, whatever is read from sockets may
    have waited there all along and is treated as out of date. A busy loop that does not come round
    for ``FREEZE_S`` counts as a stop too, since its effect is the same.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_checked_at = clock.monotonic()
        self.resumed_at = float("-inf")
        self.count = 0
        self.listeners: list[Callable[[], None]] = []

    def on_resume(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a stop has been found."""
        self.listeners.append(listener)

    def was_frozen(self, now: float) -> bool:
        """Look at the clock; tell whether the process has just come back from a stop."""
        if now - self.last_checked_at > FREEZE_S:
            self.resumed_at = now
            self.count += 1
            self.last_checked_at = now
            for listener in self.listeners:
                listener()
        self.last_checked_at = now
        return now - self.resumed_at < RECOVERY_S

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.was_frozen(self.clock.monotonic())
            await self.clock.sleep(TICK_S)
