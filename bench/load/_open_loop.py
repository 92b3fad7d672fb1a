"""Plays planned calls at their times, whatever becomes of the earlier ones."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from bench.load._attempt import Attempt
from bench.load._caller import Caller
from bench.load._planned_call import PlannedCall
from bench.load._result import CallResult
from marjoramtide.clock import Clock, SystemClock

Send = Callable[[PlannedCall], Awaitable[tuple[Attempt, ...]]]


class OpenLoop:
    """Starts each call at its planned time and counts latency from that time.

    A load tool that waits for an answer before it sends the next request stops sending while the
    server stalls, and so leaves the stall out of its figures (coordinated omission). Here the plan
    alone says when a call starts, and a call that starts late still counts from the plan.
    """

    def __init__(self, send: Send, clock: Clock) -> None:
        self.send = send
        self.clock = clock
        self.done = 0

    async def run(self, calls: Sequence[PlannedCall], start: float) -> list[CallResult]:
        """Play ``calls``; their times count from ``start``, in seconds of the clock."""
        async with asyncio.TaskGroup() as group:
            tasks = []
            for call in sorted(calls, key=lambda call: call.at_s):
                wait_s = start + call.at_s - self.clock.monotonic()
                if wait_s > 0:
                    await self.clock.sleep(wait_s)
                tasks.append(group.create_task(self.one(call, start + call.at_s)))
        return [task.result() for task in tasks]

    async def one(self, call: PlannedCall, planned: float) -> CallResult:
        lag_ms = (self.clock.monotonic() - planned) * 1000
        attempts = await self.send(call)
        self.done += 1
        return CallResult(
            call, attempts, (self.clock.monotonic() - planned) * 1000, max(0.0, lag_ms)
        )


async def play(
    calls: Sequence[PlannedCall],
    entries: dict[str, Sequence[str]],
    *,
    seed: int = 1,
    start: float | None = None,
) -> list[CallResult]:
    """Play ``calls`` from this process; ``start`` is a time of ``time.monotonic``, now by default.

    ``entries`` gives the addresses for callers by service.
    """
    clock = SystemClock()
    async with Caller(entries, seed) as caller:
        return await OpenLoop(caller.call, clock).run(
            calls, clock.monotonic() if start is None else start
        )
