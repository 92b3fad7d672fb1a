"""The first moments of a node, in which it doesn't know yet what it is about to know."""

import asyncio
from collections.abc import Callable

import attrs

from marjoramtide.clock import Clock

# For how long after a node takes callers its requests may wait for settings and members, in
# seconds. Measured after a loss of all of ten nodes: settings were known 70 to 150 ms after the
# port was open, the others of a service 250 to 400 ms after it. What is not known by then is not
# about to be.
START_UP_S = 0.5


@attrs.define(slots=True, eq=False, repr=False)
class StartUp:
    """Lets requests wait for the news that a node which has just started is about to hear.

    Failure: all nodes lose power and start again amid their traffic. For some tenths of a second
    each of them holds no settings and knows no others, and refuses what comes; callers come back
    once, together, and are refused again for want of room. Waiting costs them those tenths. A node
    that has been up for longer refuses at once: it knows that nobody is there.
    """

    clock: Clock
    ends_at: float = float("-inf")
    news: asyncio.Event = attrs.Factory(asyncio.Event)

    def begin(self) -> None:
        """Note that the node takes callers from now on."""
        self.ends_at = self.clock.monotonic() + START_UP_S

    def note_news(self) -> None:
        """Look again at what requests wait for."""
        self.news.set()
        self.news.clear()

    async def wait_until(self, is_known: Callable[[], bool]) -> None:
        """Return once ``is_known`` or the first moments are over, whichever is sooner."""
        while (left_s := self.ends_at - self.clock.monotonic()) > 0 and not is_known():
            try:
                async with asyncio.timeout(left_s):
                    await self.news.wait()
            except TimeoutError:
                return
