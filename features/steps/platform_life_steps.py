"""Steps on the start, reload, logs, metrics and stop of nodes on the platform."""

import asyncio
from typing import Any

import aiohttp
import attrs
import structlog
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import PlatformFleet, route
from features.steps.platform_node_steps import (
    all_at,
    begin_booking,
    fleet_node,
    populate_fleet,
    register_first_time,
    run,
    start_fleet,
)
from marjoramtide.platform import platform_interface

use_step_matcher("parse")

# For so long after the stop signal, callers may still come to a node.
LATE_CALLERS_S = 2.1
# Time that a node may take for the steps of its stop once they are due.
STOP_STEPS_S = 0.1


@when("node {number:d} is told to stop")
def told_to_stop(context: Any, number: int) -> None:
    async def stop() -> None:
        context.signalled_at = asyncio.get_running_loop().time()
        context.stopping = asyncio.create_task(fleet_node(context, number).node.stop())
        await asyncio.sleep(0.05)

    context.before = [len(each.server.executed_headers) for each in context.fleet.fleet_nodes]
    run(context, stop())


@then(
    "for {seconds:d} s every request through node 1 is answered {status:d}, "
    "on connections that are closed"
)
def answered_meanwhile(context: Any, seconds: int, status: int) -> None:
    async def ask() -> None:
        loop, checked = asyncio.get_running_loop(), 0
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            started_at = loop.time()
            result = await context.fleet.call(fleet_node(context, 1))
            if await context.fleet.loop_stalls.stalled_s_since(started_at):
                # The loop's stall held up the caller and all nodes; the node is not at fault.
                continue
            checked += 1
            assert result.status == status, result
            assert result.headers.get("Connection") == "close", result.headers
        assert checked, "the event loop was stalled all the time"

    run(context, ask())


@then(
    "from {seconds:g} s after the stop signal on, the server of node {number:d} starts no request"
)
def starts_no_request(context: Any, seconds: float, number: int) -> None:
    async def ask() -> None:
        loop, stalls = asyncio.get_running_loop(), context.fleet.loop_stalls
        await asyncio.sleep(context.signalled_at + seconds - loop.time())
        if await stalls.stalled_s_since(context.signalled_at + seconds - STOP_STEPS_S):
            # The step became due during the stall; give the node time to take it.
            await asyncio.sleep(STOP_STEPS_S)
        before = len(fleet_node(context, number).server.executed_headers)
        while loop.time() < context.signalled_at + LATE_CALLERS_S:
            started_at = loop.time()
            result = await context.fleet.call(fleet_node(context, 1))
            assert result.status == 200 or await stalls.stalled_s_since(started_at), result
        assert len(fleet_node(context, number).server.executed_headers) == before

    run(context, ask())


@given("2 bookings are in progress through node 2, one of which waits at node 1")
def given_waiting_booking(context: Any) -> None:
    first, second = fleet_node(context, 1), fleet_node(context, 2)

    async def book() -> None:
        await register_first_time(first)
        await context.fleet.wait_for(second.node.accepts_callers)
        members = second.node.membership.members_of
        await context.fleet.wait_for(lambda: members("mapdesk"))
        work = [begin_booking(context, second) for _ in range(2)]
        context.bookings = [asyncio.create_task(each) for each in work]
        await context.fleet.wait_for(lambda: len(first.node.serving.queue.waiting) == 1)

    run(context, book())


@when("node {number:d} is told to stop with a grace period of {seconds:g} s")
def told_to_stop_with_grace_period(context: Any, number: int, seconds: float) -> None:
    fleet_node(context, number).node.stop_grace_s = seconds
    told_to_stop(context, number)


@then("both bookings are answered {status:d} within {seconds:g} s of the stop signal")
def both_answered(context: Any, status: int, seconds: float) -> None:
    async def collect() -> list[Any]:
        left = context.signalled_at + seconds - asyncio.get_running_loop().time()
        async with asyncio.timeout(left):
            return await asyncio.gather(*context.bookings)

    results = run(context, collect())
    assert [result.status for result in results] == [status] * 2, results


@then("node {number:d} has stopped within {seconds:g} s of the stop signal")
def has_stopped(context: Any, number: int, seconds: float) -> None:
    async def wait() -> None:
        async with asyncio.timeout(
            context.signalled_at + seconds - asyncio.get_running_loop().time()
        ):
            await context.stopping

    run(context, wait())


@given("a fleet on the platform whose servers send no heartbeat: {services}")
def given_no_heartbeats(context: Any, services: str) -> None:
    start_without_heartbeats(context, services, draining=False)


@given("a fleet on the platform whose servers drain and send no heartbeat: {services}")
def given_draining_servers(context: Any, services: str) -> None:
    start_without_heartbeats(context, services, draining=True)


def start_without_heartbeats(context: Any, services: str, *, draining: bool) -> None:
    fleet: PlatformFleet = start_fleet(context)

    async def start() -> None:
        await populate_fleet(fleet, services.split(", "))
        for each in fleet.fleet_nodes:
            each.server.faults.drain = draining
        await fleet.wait_for(lambda: all(each.node.accepts_callers() for each in fleet.fleet_nodes))
        await asyncio.sleep(0.5)

    run(context, start())


@when("the settings file of node {number:d} changes its bounds and its name")
def changes_settings(context: Any, number: int) -> None:
    node = fleet_node(context, number).node
    changed = attrs.evolve(node.settings, bounds=["GraceS=4"], name="another")
    with structlog.testing.capture_logs() as lines:
        node.reload(changed, platform_interface(changed))
    context.lines = lines


@then("node {number:d} applies the new bounds and logs that the name needs a restart")
def applies_bounds(context: Any, number: int) -> None:
    assert fleet_node(context, number).node.stop_grace_s == 4
    line = next(each for each in context.lines if each["event"] == "daemon.reloaded")
    assert line["changed"] == ["bounds"] and line["waiting_for_restart"] == ["name"], line


@then("the metrics of node {number:d} hold")
def metrics_hold(context: Any, number: int) -> None:
    async def read() -> str:
        address = fleet_node(context, number).settings.metrics
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/metrics") as response,
        ):
            return await response.text()

    text = run(context, read())
    missing = [row["line"] for row in context.table if row["line"] not in text.splitlines()]
    assert not missing, (missing, text)


@then("the log line of such a request has the fields")
def log_line_has_fields(context: Any) -> None:
    with structlog.testing.capture_logs() as lines:
        work = context.fleet.call(fleet_node(context, 1), "/book/9", method="POST", body=b"booking")
        result = run(context, work)
    line = next(each for each in lines if each.get("request") == result.attempt)
    check_fields(context, line)


def check_fields(context: Any, line: dict[str, Any]) -> None:
    missing = [row["field"] for row in context.table if row["field"] not in line]
    assert not missing, (missing, line)


@given('the route "{prefix}" is to be answered within {milliseconds:d} ms, as version {version:d}')
def given_latency_goal(context: Any, prefix: str, milliseconds: int, version: int) -> None:
    tight_route = route(prefix, {"mapdesk": 1}, TargetLatencyMs=milliseconds)
    context.fleet.configure(version, [tight_route])
    run(context, context.fleet.wait_for(lambda: all_at(context, version)))


@then("the log line of a late response has the fields")
def late_log_line_has_fields(context: Any) -> None:
    with structlog.testing.capture_logs() as lines:
        result = run(context, context.fleet.call(fleet_node(context, 1)))
    assert result.status == 200, result
    line = next(each for each in lines if each["event"] == "ingress.late")
    assert line["request"] == result.attempt and line["tries"][0]["outcome"] == "answered", line
    check_fields(context, line)
