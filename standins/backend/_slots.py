"""The slots of a backend server: requests over them wait inside it, which makes it slow."""

import asyncio
from collections import deque


class Slots:
    """A counted set of slots with a first-in, first-out queue."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.in_use = 0
        self.waiters: deque[asyncio.Future[None]] = deque()

    @property
    def queued(self) -> int:
        return sum(not waiter.done() for waiter in self.waiters)

    async def acquire(self, timeout: float | None) -> bool:
        """Take a slot; false where none became free within ``timeout`` seconds."""
        if self.in_use < self.total:
            self.in_use += 1
            return True
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            # A slot handed over in the same loop turn as the cancellation would be lost for good.
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise
        return True

    def release(self) -> None:
        """Hand the slot to the longest waiting request, or free it."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.in_use -= 1
