"""The grace period after a node has started or was frozen, in which requests wait for its state."""

import asyncio
from collections.abc import Callable

import attrs

from marjoramtide.clock import Clock, FreezeDetector

# How long requests may wait for settings and members after a node begins to accept callers. When a
# whole fleet restarts, settings are known within 150 ms after the port is open, and the other
# members of a service within 400 ms. What is unknown by then will not be known soon.
STARTUP_GRACE_S = 0.5


@attrs.define(slots=True, eq=False, repr=False)
class StartupGrace:
    """Lets requests wait for the settings and members that a newly started node will soon know.

    Failure: all nodes lose power and restart under traffic. For a few tenths of a second each of
    them has no settings and knows no other nodes, and refuses all requests; the callers retry
    once, all together, and are refused again as overloaded. Waiting costs them only those tenths. A
    node that has been up for longer refuses at once, since it knows that no other node is there.

    The same holds after a ``freeze``. Failure: a host freezes all its processes for a second, or an
    overloaded machine all nodes. None of them can know which settings are in force until it has
    asked again, and the whole fleet refused all requests queued in its sockets at one moment.

    ``is_quarantine_known`` returns whether the node has learned which requests are quarantined.
    Failure: one of them crashes the node, which restarts knowing only itself and runs the next such
    request that waits at its port.
    """

    clock: Clock
    freeze: FreezeDetector | None = None
    ends_at: float = float("-inf")
    is_quarantine_known: Callable[[], bool] = lambda: True
    updated: asyncio.Event = attrs.Factory(asyncio.Event)

    def __attrs_post_init__(self) -> None:
        if self.freeze is not None:
            self.freeze.on_resume(self.begin)

    def begin(self) -> None:
        """Start the grace period: the node accepts callers from now on, or again."""
        self.ends_at = self.clock.monotonic() + STARTUP_GRACE_S

    def notify(self) -> None:
        """Let waiting requests check their conditions again."""
        self.updated.set()
        self.updated.clear()

    def remaining_s(self) -> float:
        """Return the seconds that are left of the grace period."""
        now = self.clock.monotonic()
        if self.freeze is not None:
            # The first check after a freeze detects it, and that may be this one.
            self.freeze.was_frozen(now)
        return self.ends_at - now

    async def wait_until(self, is_known: Callable[[], bool]) -> None:
        """Return once ``is_known`` returns true or the grace period is over."""
        while self.remaining_s() > 0 and not is_known():
            try:
                async with asyncio.timeout(self.remaining_s()):
                    await self.updated.wait()
            except TimeoutError:
                return
