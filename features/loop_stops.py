"""Stops of the event loop in which a scenario's nodes and callers run together."""

import asyncio

import attrs

TICK_S = 0.02
# A loop that does not come round for so long stands still, in seconds: longer than the longest step
# of a node, shorter than the stop that a node takes for a freeze.
STOP_S = 0.25


@attrs.define(slots=True, eq=False)
class LoopStops:
    """Knows when the loop stood still, so that what it did then is not put down to a node.

    On an overloaded machine the process is not run for tenths of a second. All nodes and their
    callers stand still together, and a request of that moment is refused, or late.
    """

    stops: list[tuple[float, float]] = attrs.Factory(list)
    task: "asyncio.Task[None] | None" = None

    def start(self) -> None:
        self.task = asyncio.create_task(self.watch())

    async def watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(TICK_S)
            if loop.time() - before > STOP_S:
                self.stops.append((before, loop.time()))

    async def since(self, began: float) -> float:
        """Return for how many seconds the loop has stood still since a time of its clock."""
        # The stop that has just ended is noted by the watch's next turn.
        await asyncio.sleep(0)
        return sum(end - max(began, start) for start, end in self.stops if end > began)

    def touches(self, began: float, ended: float, after_s: float) -> bool:
        """Tell whether the loop stood still between two times, or within ``after_s`` before."""
        return any(start < ended and end + after_s > began for start, end in self.stops)

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
