"""Stalls of the event loop that runs the nodes and the callers of a scenario."""

import asyncio

import attrs

TICK_S = 0.02
# Longer than the longest step of a node, and shorter than the delay after which a node assumes that
# its process was frozen.
MIN_STALL_S = 0.25


@attrs.define(slots=True, eq=False)
class LoopStalls:
    """Records stalls of the event loop, so that their effects are not taken for faults of a node.

    An overloaded machine may not schedule the process for tenths of a second. All nodes and callers
    then stall together, and requests in flight are refused or late.
    """

    stalls: list[tuple[float, float]] = attrs.Factory(list)
    task: "asyncio.Task[None] | None" = None

    def start(self) -> None:
        self.task = asyncio.create_task(self.watch())

    async def watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(TICK_S)
            if loop.time() - before > MIN_STALL_S:
                self.stalls.append((before, loop.time()))

    async def stalled_s_since(self, started_at: float) -> float:
        """Return how many seconds the loop has been stalled since a time of its clock."""
        # Lets the watch task record a stall that has just ended.
        await asyncio.sleep(0)
        return sum(end - max(started_at, start) for start, end in self.stalls if end > started_at)

    def overlaps(self, started_at: float, ended_at: float, margin_s: float) -> bool:
        """Return whether a stall ended less than ``margin_s`` before a period, or overlaps it."""
        return any(start < ended_at and end + margin_s > started_at for start, end in self.stalls)

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
