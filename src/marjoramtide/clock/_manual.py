"""A clock that stands still until it is moved, for tests."""

import asyncio
import heapq
import itertools

from marjoramtide.clock._clock import Clock


class ManualClock(Clock):
    """Time that passes only when ``advance`` is called.

    Sleepers wake in the order of their due times, so that a test gives the same verdict on every
    run: ``clock.advance(2.0)`` wakes each task whose sleep ends within those two seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.order = itertools.count()

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self.sleepers, (self.now + seconds, next(self.order), waiter))
        await waiter

    def advance(self, seconds: float) -> None:
        """Move time on by ``seconds`` and wake every sleeper that is due."""
        self.now += seconds
        while self.sleepers and self.sleepers[0][0] <= self.now:
            _, _, waiter = heapq.heappop(self.sleepers)
            if not waiter.done():
                waiter.set_result(None)
