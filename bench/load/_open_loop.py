"""Sends planned calls at their times, independent of the completion of earlier ones."""

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

    A load tool that waits for a response before it sends the next request stops sending while the
    server stalls, and so omits the stall from its figures (coordinated omission). Here calls start
    at their planned times only, and the latency of a call that starts late includes the delay.
    """

    def __init__(self, send: Send, clock: Clock) -> None:
        self.send = send
        self.clock = clock
        self.completed_calls = 0

    async def run(self, calls: Sequence[PlannedCall], start: float) -> list[CallResult]:
        """Play ``calls``; their times count from ``start``, in seconds of the clock."""
        async with asyncio.TaskGroup() as group:
            tasks = []
            for call in sorted(calls, key=lambda call: call.at_s):
                wait_s = start + call.at_s - self.clock.monotonic()
                if wait_s > 0:
                    await self.clock.sleep(wait_s)
                tasks.append(group.create_task(self.play_call(call, start + call.at_s)))
        return [task.result() for task in tasks]

    async def play_call(self, call: PlannedCall, planned_at: float) -> CallResult:
        lag_ms = (self.clock.monotonic() - planned_at) * 1000
        attempts = await self.send(call)
        self.completed_calls += 1
        return CallResult(
            call, attempts, (self.clock.monotonic() - planned_at) * 1000, max(0.0, lag_ms)
        )


async def play(
    calls: Sequence[PlannedCall],
    addresses_by_service: dict[str, Sequence[str]],
    *,
    seed: int = 1,
    start: float | None = None,
) -> list[CallResult]:
    """Play ``calls`` from this process; ``start`` is a time of ``time.monotonic``, now by default.

    ``addresses_by_service`` holds the nodes' addresses for callers.
    """
    clock = SystemClock()
    async with Caller(addresses_by_service, seed) as caller:
        return await OpenLoop(caller.call, clock).run(
            calls, clock.monotonic() if start is None else start
        )
