"""A simulated backend server."""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable

import attrs

from bench.model._neighbours import PaceTimeline
from bench.model._service_plan import ServicePlan
from marjoramtide.exchange import ServerStatement
from marjoramtide.serving import ServerLoad

# Duration of a request that a ``grey`` fault makes fail at once.
FAST_FAILURE_S = 0.001
# A server with a rate limit tolerates ``TOLERATED_EXCESS`` times the limit over the window, plus
# ``TOLERATED_SLACK`` requests. Requests beyond that take ``OVERLOAD_FACTOR`` times longer.
TOLERATED_EXCESS, TOLERANCE_WINDOW_S, TOLERATED_SLACK = 1.5, 4.0, 5.0
OVERLOAD_FACTOR = 4.0

Calls = Callable[[], Awaitable[bool]]
"""Sends the nested requests of a request; returns whether all of them succeeded."""


class ServerCrashedError(Exception):
    """The server crashed while it ran a request, or is down."""


class ServerFullError(Exception):
    """All slots and queue places of the server are taken."""


@attrs.define(slots=True, eq=False)
class ModelServer:
    """Runs requests; the pace of the server at the start of a request decides how long it takes.

    ``fault_factor`` is the slowdown by a fault, ``failure_share`` the share of requests that a
    fault makes fail, ``rate_limit`` the announced rate limit per second or ``None``.
    """

    plan: ServicePlan
    pace: PaceTimeline
    rng: random.Random
    clock: Callable[[], float]
    started_at: float
    speed: float = 1.0
    fault_factor: float = 1.0
    failure_share: float = 0.0
    rate_limit: float | None = None
    recent_starts: deque[float] = attrs.Factory(deque)
    is_up: bool = True
    running: set["asyncio.Task[bool]"] = attrs.Factory(set)
    waiting: deque["asyncio.Future[None]"] = attrs.Factory(deque)
    in_use: int = 0
    runs: int = 0

    def slowdown(self, now: float) -> float:
        """Return the slowdown that the server reports: neighbours and cold start together."""
        return self.pace.at(now) * self.cold_factor(now)

    def cold_factor(self, now: float) -> float:
        is_cold = now - self.started_at < self.plan.cold_s
        return self.plan.cold_factor if is_cold else 1.0

    def load(self) -> ServerLoad:
        """Return the load that the server reports."""
        slowdown = self.slowdown(self.clock())
        return ServerLoad(self.in_use, len(self.waiting), self.plan.slots, slowdown)

    def run_time_s(self, work_ms: float, now: float) -> float:
        """Return the duration of work that starts now."""
        knee = self.plan.knee_factor if self.in_use > self.plan.knee * self.plan.slots else 1.0
        overload = OVERLOAD_FACTOR if self.is_overloaded(now) else 1.0
        return (
            work_ms / 1000 * self.slowdown(now) * knee * overload * self.speed * self.fault_factor
        )

    def statement(self) -> ServerStatement:
        """Return the server's statement of its rate limit."""
        return ServerStatement(rate_per_s=self.rate_limit)

    def is_overloaded(self, now: float) -> bool:
        """Tell whether more requests started in the window than the rate limit tolerates."""
        while self.recent_starts and self.recent_starts[0] <= now - TOLERANCE_WINDOW_S:
            self.recent_starts.popleft()
        if self.rate_limit is None:
            return False
        return (
            len(self.recent_starts)
            > TOLERATED_EXCESS * self.rate_limit * TOLERANCE_WINDOW_S + TOLERATED_SLACK
        )

    async def run(self, work_ms: float, calls: Calls) -> bool:
        """Run one request with its nested requests; return whether it succeeded.

        Raises ``ServerFullError`` if it was not started, and ``ServerCrashedError`` if the server
        is down or crashes before the request completes.
        """
        if not self.is_up:
            raise ServerCrashedError
        await self._take_slot()
        task = asyncio.ensure_future(self._work(work_ms, calls))
        self.running.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if self.is_up or not task.cancelled():
                task.cancel()
                raise
            raise ServerCrashedError from None
        finally:
            self.running.discard(task)
            self._free_slot()

    async def _work(self, work_ms: float, calls: Calls) -> bool:
        self.runs += 1
        self.recent_starts.append(self.clock())
        if self.rng.random() < self.failure_share:
            await asyncio.sleep(FAST_FAILURE_S)
            return False
        await asyncio.sleep(self.run_time_s(work_ms, self.clock()))
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

    def crash(self) -> None:
        """Stop at once and break off all running and queued requests."""
        self.is_up = False
        for task in list(self.running):
            task.cancel()
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_exception(ServerCrashedError())
        self.waiting.clear()

    def restart(self) -> None:
        """Start again after a crash, cold."""
        self.is_up = True
        self.started_at = self.clock()
