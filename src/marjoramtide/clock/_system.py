"""The clock of the machine."""

import asyncio
import time

from marjoramtide.clock._clock import Clock


class SystemClock(Clock):
    """Time as the machine tells it."""

    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
