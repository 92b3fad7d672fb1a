"""An event loop whose time jumps to the next timer."""

import asyncio
import selectors

from marjoramtide.clock import Clock

BEGIN_S = 1000.0


class JumpingSelector(selectors.SelectSelector):
    """Moves time on in place of waiting: nothing outside the process is waited for."""

    def __init__(self) -> None:
        super().__init__()
        self.now = BEGIN_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("every task waits for something that no timer will bring")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks and timers in their order, without waiting for the clock of the machine."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now


class LoopClock(Clock):
    """The time of an event loop, as the product reads it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        return self.loop.time()

    def wall(self) -> float:
        return self.loop.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
