"""An event loop with virtual time, which jumps to the next timer."""

import asyncio
import selectors

from marjoramtide.clock import Clock

START_TIME_S = 1000.0


class VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time instead of waiting; there is no I/O to wait for."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START_TIME_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait, and no timer is pending")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks and timers in order of their time, without waiting for the real clock."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        return self.virtual_selector.now


class LoopClock(Clock):
    """The time of an event loop as a clock of the product."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        return self.loop.time()

    def wall(self) -> float:
        return self.loop.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
