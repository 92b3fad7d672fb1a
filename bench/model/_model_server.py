"""One backend server of a played deployment."""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable

import attrs

from bench.model._neighbours import PaceTimeline
from bench.model._service_plan import ServicePlan
from marjoramtide.exchange import ServerStatement
from marjoramtide.serving import ServerLoad

# What a refusal by the server, or an error that it gives at once, takes, in seconds.
QUICK_S = 0.001
# What a server that has named a limit bears: so many times it over a span in seconds, and a number
# besides. What begins beyond that takes so many times longer.
BORNE_EXCESS, BORNE_SPAN_S, BORNE_SLACK = 1.5, 4.0, 5.0
OVERRUN_FACTOR = 4.0

Calls = Callable[[], Awaitable[bool]]
"""Makes the calls of a request; tells whether all of them succeeded."""


class ServerGoneError(Exception):
    """The server ended while it ran a request, or isn't there."""


class ServerFullError(Exception):
    """The server runs and queues as many requests as it can."""


@attrs.define(slots=True, eq=False)
class ModelServer:
    """Runs requests at the pace that it has when each begins.

    ``trouble`` is by how much a fault slows it down, ``grey`` the share that a fault makes it fail,
    ``limit`` the requests a second that it names, ``None`` for none.
    """

    plan: ServicePlan
    pace: PaceTimeline
    rng: random.Random
    clock: Callable[[], float]
    started_at: float
    speed: float = 1.0
    trouble: float = 1.0
    grey: float = 0.0
    limit: float | None = None
    begun: deque[float] = attrs.Factory(deque)
    is_up: bool = True
    running: set["asyncio.Task[bool]"] = attrs.Factory(set)
    waiting: deque["asyncio.Future[None]"] = attrs.Factory(deque)
    in_use: int = 0
    runs: int = 0

    def slowdown(self, now: float) -> float:
        """Return what the server tells of its neighbours; a cold one counts that in."""
        return self.pace.at(now) * self.cold(now)

    def cold(self, now: float) -> float:
        is_cold = now - self.started_at < self.plan.cold_s
        return self.plan.cold_factor if is_cold else 1.0

    def load(self) -> ServerLoad:
        """Return what the server says of itself."""
        slowdown = self.slowdown(self.clock())
        return ServerLoad(self.in_use, len(self.waiting), self.plan.slots, slowdown)

    def run_s(self, work_ms: float, now: float) -> float:
        """Return how long work that begins now takes, in seconds."""
        knee = self.plan.knee_factor if self.in_use > self.plan.knee * self.plan.slots else 1.0
        overrun = OVERRUN_FACTOR if self.is_overrun(now) else 1.0
        return work_ms / 1000 * self.slowdown(now) * knee * overrun * self.speed * self.trouble

    def statement(self) -> ServerStatement:
        """Return what it says that it takes."""
        return ServerStatement(rate_per_s=self.limit)

    def is_overrun(self, now: float) -> bool:
        """Tell whether more has begun of late than the limit bears."""
        while self.begun and self.begun[0] <= now - BORNE_SPAN_S:
            self.begun.popleft()
        if self.limit is None:
            return False
        return len(self.begun) > BORNE_EXCESS * self.limit * BORNE_SPAN_S + BORNE_SLACK

    async def run(self, work_ms: float, calls: Calls) -> bool:
        """Run one request with its calls; tell whether it succeeded.

        Raises ``ServerFullError`` where it was not begun, ``ServerGoneError`` where the server
        ended before it did.
        """
        if not self.is_up:
            raise ServerGoneError
        await self._take_slot()
        task = asyncio.ensure_future(self._work(work_ms, calls))
        self.running.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if self.is_up or not task.cancelled():
                task.cancel()
                raise
            raise ServerGoneError from None
        finally:
            self.running.discard(task)
            self._free_slot()

    async def _work(self, work_ms: float, calls: Calls) -> bool:
        self.runs += 1
        self.begun.append(self.clock())
        if self.rng.random() < self.grey:
            await asyncio.sleep(QUICK_S)
            return False
        await asyncio.sleep(self.run_s(work_ms, self.clock()))
        return await calls() and self.rng.random() >= self.plan.error_share

    async def _take_slot(self) -> None:
        if self.in_use < self.plan.slots:
            self.in_use += 1
            return
        if len(self.waiting) >= self.plan.queue:
            raise ServerFullError
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
            elif not waiter.cancelled() and waiter.exception() is None:
                self._free_slot()
            raise

    def _free_slot(self) -> None:
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.in_use -= 1

    def end(self) -> None:
        """Break off all that runs."""
        self.is_up = False
        for task in list(self.running):
            task.cancel()
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_exception(ServerGoneError())
        self.waiting.clear()

    def begin(self) -> None:
        """Come back, cold."""
        self.is_up = True
        self.started_at = self.clock()
