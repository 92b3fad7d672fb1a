"""Steps for the background tasks of a node."""

import asyncio
import random
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.clock import ManualClock
from marjoramtide.daemon._supervision import supervise
from marjoramtide.membership import Member
from marjoramtide.membership._announcement import ANNOUNCEMENT_PREFIX, announcement_of
from marjoramtide.membership._announcer import Announcer
from marjoramtide.serving import EndpointResponse, HealthChecker
from marjoramtide.settings import RouteSettings
from marjoramtide.store import StoredObject
from marjoramtide.telemetry import Metrics

use_step_matcher("parse")

FAILURES = 2


class ScriptedHealth:
    """Responds to health checks from a list, and repeats the last entry."""

    def __init__(self, bodies: list[bytes]) -> None:
        self.bodies = bodies
        self.reads = 0

    async def read(self, path: str, timeout_s: float) -> EndpointResponse:
        self.reads += 1
        return EndpointResponse(200, body=self.bodies[min(self.reads, len(self.bodies)) - 1])


async def pass_time(clock: ManualClock, seconds: float, step_s: float = 0.1) -> None:
    for _ in range(round(seconds / step_s)):
        clock.advance(step_s)
        for _ in range(5):
            await asyncio.sleep(0)


@given("a health checker whose backend server responds with {count:d} brackets, then draining")
def given_health_checker(context: Any, count: int) -> None:
    context.health = ScriptedHealth([b"[" * count, b'{"state": "draining"}'])
    context.states = []
    context.clock = ManualClock()
    context.health_checker = HealthChecker(
        context.health, context.clock, Metrics(), context.states.append
    )
    context.health_checker.configure(RouteSettings(service="s"))


@when("two health checks have run")
def when_checked_twice(context: Any) -> None:
    async def run_scenario() -> None:
        task = asyncio.create_task(context.health_checker.run())
        while context.health.reads < 2 and not task.done():
            await pass_time(context.clock, 1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run_scenario())


@then("it has reported the states ready and draining")
def then_states(context: Any) -> None:
    assert context.states == ["ready", "draining"], context.states


@given("a task of a node that fails at its first two runs")
def given_failing(context: Any) -> None:
    context.runs = 0
    context.metrics = Metrics()
    context.clock = ManualClock()

    async def fail_then_wait() -> None:
        context.runs += 1
        if context.runs <= FAILURES:
            raise ZeroDivisionError("a fault of this scenario")
        await asyncio.Event().wait()

    context.task_function = fail_then_wait


@when("{seconds:g} s pass on the node's clock")
def when_time_passes(context: Any, seconds: float) -> None:
    async def run_scenario() -> None:
        task = asyncio.create_task(
            supervise("test", context.task_function, context.clock, context.metrics)
        )
        await pass_time(context.clock, seconds)
        context.running = not task.done()
        task.cancel()

    asyncio.run(run_scenario())


@then("the task runs, and {count:d} restarts were counted")
def then_runs(context: Any, count: int) -> None:
    context.metrics.flush()
    assert context.running and context.runs == FAILURES + 1, context.runs
    assert context.metrics.totals["daemon.task_restarts"] == count


class ForeignAnnouncementStore:
    """Holds one announcement of another node, and counts the writes of the node under test."""

    def __init__(self, value: bytes) -> None:
        self.other = StoredObject(ANNOUNCEMENT_PREFIX + "other", value, 1)
        self.writes = 0

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        self.writes += 1
        return StoredObject(key, value, 2)

    async def update(
        self, key: str, value: bytes, version: int, *, timeout: float = 2.0
    ) -> StoredObject:
        return await self.create(key, value)

    async def list(self, prefix: str, *, timeout: float = 2.0) -> list[StoredObject]:
        return [self.other]

    async def delete(self, key: str, version: int, *, timeout: float = 2.0) -> None:
        raise AssertionError("the announcement may be another node's")


@given("a store in which an announcement has the text {time} as its time")
def given_malformed_announcement(context: Any, time: str) -> None:
    own = Member("n", "s", "r", "d", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    malformed = attrs.evolve(announcement_of(own, 0.0), node="other", gossip_address="127.0.0.1:4")
    context.store = ForeignAnnouncementStore(attrs.evolve(malformed, refreshed=time).encode())
    context.clock = ManualClock()
    context.announcer = Announcer(
        context.store, context.clock, random.Random(1), lambda: own, lambda: 1, lambda found: None
    )


@when("a node announces itself for {seconds:g} s")
def when_announces(context: Any, seconds: float) -> None:
    async def run_scenario() -> None:
        task = asyncio.create_task(context.announcer.run())
        await pass_time(context.clock, seconds, 1.0)
        context.running = not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run_scenario())


@then("it has announced itself at least {count:d} times, and goes on")
def then_announced(context: Any, count: int) -> None:
    assert context.running and context.store.writes >= count, context.store.writes
