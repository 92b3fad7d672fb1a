"""Detection of suspensions of this process."""

from collections.abc import Callable

from marjoramtide.clock._clock import Clock

CHECK_INTERVAL_S = 0.1
MIN_FREEZE_S = 0.5
RECOVERY_S = 0.1


class FreezeDetector:
    """Detects that the process was suspended (SIGSTOP, a paused host) a moment ago.

    A task checks the clock periodically; a gap between two checks far above that period means that
    the process did not run. Every call of ``was_frozen`` is a check, so the first caller after the
    suspension detects it, even before the task runs. For ``RECOVERY_S`` after the gap, data read
    from sockets may have been buffered all along and is treated as out of date. An event loop that
    is blocked for ``MIN_FREEZE_S`` counts as suspended too, since the effect is the same.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_checked_at = clock.monotonic()
        self.resumed_at = float("-inf")
        self.count = 0
        self.listeners: list[Callable[[], None]] = []

    def on_resume(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a suspension is detected."""
        self.listeners.append(listener)

    def was_frozen(self, now: float) -> bool:
        """Check the clock; returns whether the process has just resumed from a suspension."""
        if now - self.last_checked_at > MIN_FREEZE_S:
            self.resumed_at = now
            self.count += 1
            self.last_checked_at = now
            for listener in self.listeners:
                listener()
        self.last_checked_at = now
        return now - self.resumed_at < RECOVERY_S

    async def run(self) -> None:
        """Check the clock periodically until cancelled."""
        while True:
            self.was_frozen(self.clock.monotonic())
            await self.clock.sleep(CHECK_INTERVAL_S)
