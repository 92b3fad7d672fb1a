"""A clock for tests that is advanced manually."""

import asyncio
import heapq
import itertools

from marjoramtide.clock._clock import Clock


class ManualClock(Clock):
    """A clock whose time only changes when ``advance`` is called.

    Sleeping tasks wake in the order of their due times, which makes tests deterministic:
    ``clock.advance(2.0)`` wakes each task whose sleep ends within those two seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.sequence = itertools.count()

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self.sleepers, (self.now + seconds, next(self.sequence), waiter))
        await waiter

    def advance(self, seconds: float) -> None:
        """Advance the time by ``seconds`` and wake every task that is due."""
        self.now += seconds
        while self.sleepers and self.sleepers[0][0] <= self.now:
            _, _, waiter = heapq.heappop(self.sleepers)
            if not waiter.done():
                waiter.set_result(None)
