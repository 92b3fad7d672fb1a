"""The first moments of a node, or after a stop, in which it is about to know what it must."""

import asyncio
from collections.abc import Callable

import attrs

from marjoramtide.clock import Clock, FreezeDetector

# For how long after a node takes callers its requests may wait for settings and members, in
# seconds. Measured after a loss of all of ten nodes: settings were known 70 to 150 ms after the
# port was open, the others of a service 250 to 400 ms after it. What is not known by then is not
# about to be.
STARTUP_GRACE_S = 0.5


@attrs.define(slots=True, eq=False, repr=False)
class StartupGrace:
    """Lets requests wait for the news that a node which has just started is about to hear.

    Failure: all nodes lose power and start again amid their traffic. For some tenths of a second
    each of them holds no settings and knows no others, and refuses what comes; callers come back
    once, together, and are refused again for want of room. Waiting costs them those tenths. A node
    that has been up for longer refuses at once: it knows that nobody is there.

    The same holds after a ``freeze``. Failure: a host stops all its processes for a second, or a
    busy machine all nodes, and none of them can know which settings are in force until it has asked
    again: all that waited in their sockets was refused by the whole fleet in one moment.

    ``is_informed`` tells whether the node has heard which requests are held back. Failure: it ended
    by one of these, starts again knowing only itself, and runs the next one that waits at its port.
    """

    clock: Clock
    freeze: FreezeDetector | None = None
    ends_at: float = float("-inf")
    is_quarantine_known: Callable[[], bool] = lambda: True
    news: asyncio.Event = attrs.Factory(asyncio.Event)

    def __attrs_post_init__(self) -> None:
        if self.freeze is not None:
            self.freeze.on_thaw(self.begin)

    def begin(self) -> None:
        """Note that the node takes callers from now on, or again."""
        self.ends_at = self.clock.monotonic() + STARTUP_GRACE_S

    def notify(self) -> None:
        """Look again at what requests wait for."""
        self.news.set()
        self.news.clear()

    def left_s(self) -> float:
        """Return how many seconds are left of these moments."""
        now = self.clock.monotonic()
        if self.freeze is not None:
            # Whoever looks first after a stop finds it.
            self.freeze.was_frozen(now)
        return self.ends_at - now

    async def wait_until(self, is_known: Callable[[], bool]) -> None:
        """Return once ``is_known`` or the first moments are over, whichever is sooner."""
        while self.left_s() > 0 and not is_known():
            try:
                async with asyncio.timeout(self.left_s()):
                    await self.news.wait()
            except TimeoutError:
                return
