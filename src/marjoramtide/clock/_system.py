"""The system clock."""

import asyncio
import time

from marjoramtide.clock._clock import Clock


class SystemClock(Clock):
    """A clock that reads the time of the operating system."""

    def monotonic(self) -> float:
        # Not time.monotonic(), which stops while the machine is suspended: expired deadlines would
        # seem to be in the future, and stale information about other nodes fresh.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
