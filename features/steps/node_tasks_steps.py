"""Steps on the long-lived tasks of a node."""

import asyncio
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.clock import ManualClock
from marjoramtide.daemon._supervision import keep_running
from marjoramtide.serving import Measurer
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics

use_step_matcher("parse")

FAILURES = 2


class ScriptedHealth:
    """Answers reads of the health endpoint from a list, the last one for ever."""

    def __init__(self, bodies: list[bytes]) -> None:
        self.bodies = bodies
        self.reads = 0

    async def read(self, path: str, timeout_s: float) -> tuple[int, bytes]:
        self.reads += 1
        return 200, self.bodies[min(self.reads, len(self.bodies)) - 1]


async def pass_time(clock: ManualClock, seconds: float) -> None:
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        for _ in range(5):
            await asyncio.sleep(0)


@given("a node's reader of a backend server whose health is {count:d} brackets, then draining")
def given_measurer(context: Any, count: int) -> None:
    context.health = ScriptedHealth([b"[" * count, b'{"state": "draining"}'])
    context.states = []
    context.clock = ManualClock()
    context.measurer = Measurer(context.health, context.clock, Metrics(), context.states.append)
    context.measurer.configure(RouteSettings(service="s"))


@when("it has read twice")
def when_read_twice(context: Any) -> None:
    async def work() -> None:
        task = asyncio.create_task(context.measurer.run())
        while context.health.reads < 2 and not task.done():
            await pass_time(context.clock, 1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(work())


@then("it knows the states ready and draining")
def then_states(context: Any) -> None:
    assert context.states == ["ready", "draining"], context.states


@given("a task of a node that fails at its first two runs")
def given_failing(context: Any) -> None:
    context.runs = 0
    context.metrics = Metrics()
    context.clock = ManualClock()

    async def work() -> None:
        context.runs += 1
        if context.runs <= FAILURES:
            raise ZeroDivisionError("a fault of this scenario")
        await asyncio.Event().wait()

    context.work = work


@when("{seconds:g} s pass on the node's clock")
def when_time_passes(context: Any, seconds: float) -> None:
    async def work() -> None:
        task = asyncio.create_task(
            keep_running("test", context.work, context.clock, context.metrics)
        )
        await pass_time(context.clock, seconds)
        context.running = not task.done()
        task.cancel()

    asyncio.run(work())


@then("the task runs, and {count:d} restarts were counted")
def then_runs(context: Any, count: int) -> None:
    context.metrics.flush()
    assert context.running and context.runs == FAILURES + 1, context.runs
    assert context.metrics.totals["daemon.task_restarts"] == count
