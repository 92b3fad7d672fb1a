"""Slots of a backend server; excess requests queue inside the server, which slows it down."""

import asyncio
from collections import deque


class Slots:
    """A semaphore with a FIFO queue and counters."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.in_use = 0
        self.waiters: deque[asyncio.Future[None]] = deque()

    @property
    def queued(self) -> int:
        return sum(not waiter.done() for waiter in self.waiters)

    async def acquire(self, timeout: float | None) -> bool:
        """Take a slot; return false if none became free within ``timeout`` seconds."""
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
            # A slot granted in the same event loop iteration as the cancellation would leak.
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise
        return True

    def release(self) -> None:
        """Pass the slot to the request that has waited longest, or free it."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.in_use -= 1
