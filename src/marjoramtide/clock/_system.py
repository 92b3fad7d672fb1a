"""The clock of the machine."""

import asyncio
import time

from marjoramtide.clock._clock import Clock


class SystemClock(Clock):
    """Time as the machine tells it."""

    def monotonic(self) -> float:
        # Not time.monotonic(), which stands still while the machine is suspended: deadlines that
        # passed meanwhile would seem to be ahead, and old views of others fresh.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
