"""A scheduler with complete knowledge, as an upper bound to compare policies with."""

import asyncio
import random
from collections.abc import Callable
from operator import attrgetter

import attrs

from bench.model._kind_plan import KindPlan
from bench.model._model_server import Calls, ModelServer, ServerCrashedError, ServerFullError

# How many changes of a server's pace the search for an undisturbed moment looks ahead.
MAX_PACE_CHANGES = 40


@attrs.define(slots=True, eq=False)
class PendingRequest:
    """A request that waits for a server; ``goal`` and ``deadline`` are times of the event loop."""

    kind: KindPlan
    work_ms: float
    is_call: bool
    goal: float
    deadline: float
    place: "asyncio.Future[ModelServer | None]"

    def sort_key(self, now: float) -> tuple[bool, bool, int, float]:
        """Return the queue order: nested first, then those that can meet their goal, rank, goal."""
        is_late = not self.is_call and now + self.work_ms / 1000 > self.goal
        return not self.is_call, is_late, self.kind.rank, self.goal


@attrs.define(slots=True, eq=False)
class Oracle:
    """Assigns each request to a free slot that serves it in time, in queue order.

    It knows the future pace of each server, what runs there and the work of each request, and has
    one queue for all callers of a service. It is greedy, so the bound is practical and not proven.
    """

    servers: Callable[[str], list[ModelServer]]
    clock: Callable[[], float]
    queues: dict[str, list[PendingRequest]] = attrs.Factory(dict)
    timers: dict[str, asyncio.TimerHandle] = attrs.Factory(dict)

    async def place(
        self,
        kind: KindPlan,
        work_ms: float,
        is_call: bool,
        goal: float,
        deadline: float,
        rng: random.Random,
    ) -> ModelServer | None:
        """Wait for a server to run at and return it; ``None`` if the deadline passes first."""
        service = rng.choices(list(kind.split), list(kind.split.values()))[0]
        place = asyncio.get_running_loop().create_future()
        pending = PendingRequest(kind, work_ms, is_call, goal, deadline, place)
        self.queues.setdefault(service, []).append(pending)
        self.dispatch_pending(service)
        return await place

    def dispatch_pending(self, service: str) -> None:
        """Assign all requests that should start now; schedule the next pass."""
        now = self.clock()
        queue = self.queues.setdefault(service, [])
        queue.sort(key=lambda pending: pending.sort_key(now))
        servers = [each for each in self.servers(service) if each.is_up]
        reserved: dict[int, int] = {}
        for pending in list(queue):
            if now >= pending.deadline:
                self.resolve(queue, pending, None)
                continue
            server = self.pick_server(servers, reserved, pending, now)
            if server is not None:
                reserved[id(server)] = reserved.get(id(server), 0) + 1
                self.resolve(queue, pending, server)
        self.schedule_next_pass(service, servers, now)

    def resolve(
        self, queue: list[PendingRequest], pending: PendingRequest, server: ModelServer | None
    ) -> None:
        queue.remove(pending)
        if not pending.place.done():
            pending.place.set_result(server)

    def pick_server(
        self,
        servers: list[ModelServer],
        reserved: dict[int, int],
        pending: PendingRequest,
        now: float,
    ) -> ModelServer | None:
        """Return the server at which a request should start now, ``None`` if waiting is better."""
        free = [
            server
            for server in servers
            if server.in_use + reserved.get(id(server), 0)
            < concurrency_limit(server, pending.is_call)
        ]
        if not free:
            return None
        fastest = min(free, key=lambda server: server.run_time_s(pending.work_ms, now))
        run_time_s = fastest.run_time_s(pending.work_ms, now)
        if fastest.pace.at(now) == 1.0:
            return fastest
        wait_s = min(next_undisturbed_at(server, now) for server in servers) - now
        undisturbed_run_s = run_time_s / fastest.pace.at(now)
        finishes_sooner = run_time_s <= wait_s + undisturbed_run_s
        is_only_chance = now + run_time_s <= pending.goal < now + wait_s + undisturbed_run_s
        return fastest if finishes_sooner or is_only_chance else None

    def schedule_next_pass(self, service: str, servers: list[ModelServer], now: float) -> None:
        timer = self.timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        if not self.queues[service]:
            return
        times = [server.pace.next_change(now) for server in servers]
        times += map(attrgetter("deadline"), self.queues[service])
        loop = asyncio.get_running_loop()
        due = max(min(times), now + 1e-4)
        self.timers[service] = loop.call_at(due, self.dispatch_pending, service)

    async def run(self, server: ModelServer, work_ms: float, calls: Calls) -> bool:
        """Run a request at a server that ``place`` has returned."""
        try:
            return await server.run(work_ms, calls)
        except (ServerFullError, ServerCrashedError):
            return False
        finally:
            self.dispatch_pending(server.plan.name)


def concurrency_limit(server: ModelServer, is_call: bool) -> int:
    """Return the highest concurrency at which the server should start a request.

    Nested requests use all slots. Others stay below the knee, unless the slots above it gain more
    throughput than the knee costs.
    """
    plan = server.plan
    if is_call or plan.knee_factor * plan.knee <= 1:
        return plan.slots
    return max(1, int(plan.knee * plan.slots + 1e-9))


def next_undisturbed_at(server: ModelServer, now: float) -> float:
    """Return the next time at which neighbours don't slow a server down."""
    at = now
    for _ in range(MAX_PACE_CHANGES):
        if server.pace.at(at) == 1.0:
            return at
        at = server.pace.next_change(at) + 1e-6
    return at
