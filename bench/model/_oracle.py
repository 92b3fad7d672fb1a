"""What could be done by somebody who knew everything: a bound to hold policies against."""

import asyncio
import random
from collections.abc import Callable
from operator import attrgetter

import attrs

from bench.model._kind_plan import KindPlan
from bench.model._model_server import Calls, ModelServer, ServerFullError, ServerGoneError

# How far ahead a quick moment of a server is looked for, in changes of its pace.
CHANGES_AHEAD = 40


@attrs.define(slots=True, eq=False)
class Wish:
    """A request that waits for a server; ``goal`` and ``deadline`` are in seconds of the loop."""

    kind: KindPlan
    work_ms: float
    is_call: bool
    goal: float
    deadline: float
    place: "asyncio.Future[ModelServer | None]"

    def order(self, now: float) -> tuple[bool, bool, int, float]:
        """Return what wishes are ordered by: calls, what can be in time, rank, goal."""
        is_late = not self.is_call and now + self.work_ms / 1000 > self.goal
        return not self.is_call, is_late, self.kind.rank, self.goal


@attrs.define(slots=True, eq=False)
class Oracle:
    """Places each request when a slot is free that will serve it in time, best first.

    It knows each server's coming pace, what runs there and how much work each request is, and has
    one queue for all callers of a service. It is greedy, so a bound in practice and not a proof.
    """

    servers: Callable[[str], list[ModelServer]]
    clock: Callable[[], float]
    waiting: dict[str, list[Wish]] = attrs.Factory(dict)
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
        """Return the server at which to begin now, ``None`` where that is never worth it."""
        service = rng.choices(list(kind.split), list(kind.split.values()))[0]
        place = asyncio.get_running_loop().create_future()
        wish = Wish(kind, work_ms, is_call, goal, deadline, place)
        self.waiting.setdefault(service, []).append(wish)
        self.serve(service)
        return await place

    def serve(self, service: str) -> None:
        """Begin what can begin, and look again when a pace changes."""
        now = self.clock()
        queue = self.waiting.setdefault(service, [])
        queue.sort(key=lambda wish: wish.order(now))
        servers = [each for each in self.servers(service) if each.is_up]
        reserved: dict[int, int] = {}
        for wish in list(queue):
            if now >= wish.deadline:
                self.settle(queue, wish, None)
                continue
            server = self.best(servers, reserved, wish, now)
            if server is not None:
                reserved[id(server)] = reserved.get(id(server), 0) + 1
                self.settle(queue, wish, server)
        self.look_again(service, servers, now)

    def settle(self, queue: list[Wish], wish: Wish, server: ModelServer | None) -> None:
        queue.remove(wish)
        if not wish.place.done():
            wish.place.set_result(server)

    def best(
        self, servers: list[ModelServer], reserved: dict[int, int], wish: Wish, now: float
    ) -> ModelServer | None:
        """Return where a wish should begin now, ``None`` where waiting is better."""
        free = [
            server
            for server in servers
            if server.in_use + reserved.get(id(server), 0) < limit_of(server, wish.is_call)
        ]
        if not free:
            return None
        quickest = min(free, key=lambda server: server.run_s(wish.work_ms, now))
        run_s = quickest.run_s(wish.work_ms, now)
        if quickest.pace.at(now) == 1.0:
            return quickest
        waited_s = min(quick_at(server, now) for server in servers) - now
        quick_s = run_s / quickest.pace.at(now)
        ends_sooner = run_s <= waited_s + quick_s
        only_chance = now + run_s <= wish.goal < now + waited_s + quick_s
        return quickest if ends_sooner or only_chance else None

    def look_again(self, service: str, servers: list[ModelServer], now: float) -> None:
        timer = self.timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        if not self.waiting[service]:
            return
        times = [server.pace.next_change(now) for server in servers]
        times += map(attrgetter("deadline"), self.waiting[service])
        loop = asyncio.get_running_loop()
        due = max(min(times), now + 1e-4)
        self.timers[service] = loop.call_at(due, self.serve, service)

    async def run(self, server: ModelServer, work_ms: float, calls: Calls) -> bool:
        """Run at a server that ``place`` has returned."""
        try:
            return await server.run(work_ms, calls)
        except (ServerFullError, ServerGoneError):
            return False
        finally:
            self.serve(server.plan.name)


def limit_of(server: ModelServer, is_call: bool) -> int:
    """Return how many the server should run at once: below its knee, where it has one."""
    plan = server.plan
    if is_call or plan.knee_factor * plan.knee <= 1:
        return plan.slots
    return max(1, int(plan.knee * plan.slots + 1e-9))


def quick_at(server: ModelServer, now: float) -> float:
    """Return when a server is next undisturbed, in seconds."""
    at = now
    for _ in range(CHANGES_AHEAD):
        if server.pace.at(at) == 1.0:
            return at
        at = server.pace.next_change(at) + 1e-6
    return at
