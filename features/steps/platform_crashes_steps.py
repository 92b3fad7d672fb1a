"""Steps on requests that crash servers on the platform, with real nodes in one event loop."""

import asyncio
from typing import Any

import aiohttp
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import CallResult, FleetNode
from features.steps.platform_node_steps import fleet_node, run
from marjoramtide.policy import ServerCrash, SuspectReport
from marjoramtide.quarantine import pack_suspect_reports

use_step_matcher("parse")

SLOW_FACTOR = 100.0
# Time in which a change of state reaches all nodes of a scenario.
PROPAGATION_S = 0.3


@given(
    'requests for "{path}" crash every server, '
    "which restarts as another instance after {seconds:g} s"
)
def given_crashing_servers(context: Any, path: str, seconds: float) -> None:
    context.crashes = []
    context.restarts = []

    async def restart(each: FleetNode) -> None:
        await asyncio.sleep(seconds)
        await each.server.restart(f"i-{len(context.crashes) + 1}-{each.settings.name}")
        await each.registrant.heartbeat(each.server.instance, sequence=1)

    def crash(each: FleetNode) -> None:
        each.server.simulate_crash()
        context.crashes.append(each.settings.name)
        context.restarts.append(asyncio.ensure_future(restart(each)))

    for each in context.fleet.fleet_nodes:
        each.server.faults.deadly = path
        each.server.crash = lambda each=each: crash(each)


REQUEST_OPTIONS: dict[str, dict[str, Any]] = {
    "an upload of 200000 bytes": {"method": "POST", "body": b"x" * 200_000},
    "a call of a running request": {"headers": {"X-Deadline-Ms": "700"}},
}


@when("{what} comes {count:d} times in {seconds:g} s, each time through another node")
def comes_often(context: Any, what: str, count: int, seconds: float) -> None:
    options = REQUEST_OPTIONS[what]

    async def send_all() -> list[CallResult]:
        calls = []
        for number in range(count):
            entry = context.fleet.fleet_nodes[number % len(context.fleet.fleet_nodes)]
            attempt = f"{number:016x}.{number:016x}" if "call" in what else f"{number:016x}"
            work = context.fleet.call(entry, "/tiles/deadly", attempt=attempt, **options)
            calls.append(asyncio.create_task(work))
            await asyncio.sleep(seconds / count)
        return await asyncio.gather(*calls)

    context.results = run(context, send_all())


@then('operators of node {number:d} see "{what}" quarantined for {crashes:d} crashes or more')
def operators_see(context: Any, number: int, what: str, crashes: int) -> None:
    address = fleet_node(context, number).settings.operators
    (context.held,) = run(context, call_operators("GET", address, "/quarantine"))["held"]
    assert context.held["what"] == what and context.held["ends"] >= crashes, context.held
    status = run(context, call_operators("GET", address, "/status"))
    assert status["held_requests"] == 1, status


@when("operators release it at node {number:d}")
def operators_release(context: Any, number: int) -> None:
    address = fleet_node(context, number).settings.operators
    path = f"/quarantine/release?fingerprint={context.held['fingerprint']}"
    run(context, call_operators("POST", address, path))


async def call_operators(method: str, address: str, path: str) -> Any:
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, f"http://{address}{path}") as response,
    ):
        assert response.status == 200, await response.text()
        return await response.json()


@then("no node quarantines it any more")
def none_quarantines(context: Any) -> None:
    async def wait() -> None:
        fleet = context.fleet
        await fleet.wait_for(
            lambda: not any(each.node.quarantine.list_held() for each in fleet.fleet_nodes)
        )

    run(context, wait())


@when('clients ask for "{path}" {count:d} times in {seconds:g} s, each time through another node')
def ask_often(context: Any, path: str, count: int, seconds: float) -> None:
    async def send_all() -> list[CallResult]:
        calls = []
        for number in range(count):
            entry = context.fleet.fleet_nodes[number % len(context.fleet.fleet_nodes)]
            calls.append(asyncio.create_task(context.fleet.call(entry, path)))
            await asyncio.sleep(seconds / count)
        return await asyncio.gather(*calls)

    context.results = run(context, send_all())


@then("at most {most:d} servers crashed")
def at_most_crashed(context: Any, most: int) -> None:
    assert 0 < len(context.crashes) <= most, context.crashes


@then("the last {count:d} of them got {status:d}, to retry after {seconds:g} s or more")
def last_got(context: Any, count: int, status: int, seconds: float) -> None:
    bad = [
        result
        for result in context.results[-count:]
        if result.status != status or float(result.headers.get("Retry-After", 0)) < seconds
    ]
    assert not bad, bad


async def set_drained(fleet_nodes: list[FleetNode], drained: bool) -> None:
    """Drain some nodes, or end that, and wait until the other nodes know."""
    for each in fleet_nodes:
        each.node.drain(drained)
    await asyncio.sleep(PROPAGATION_S)


@when('the server of node 1 leaves while it runs "{path}", and exits')
def leaves_and_exits(context: Any, path: str) -> None:
    async def leave() -> None:
        first, *others = context.fleet.fleet_nodes[:4]
        first.server.faults.slow_factor = SLOW_FACTOR
        await set_drained(others, True)
        call = asyncio.create_task(context.fleet.call(first, path))
        await context.fleet.wait_for(
            lambda: bool(first.node.serving.crash_monitor.detector.in_flight)
        )
        await set_drained(others, False)
        await first.registrant.leave(first.server.instance)
        first.server.simulate_crash()
        await call
        await asyncio.sleep(0.3)

    run(context, leave())


@when('two servers in turn drop the response to "{path}" and keep running')
def drop_responses(context: Any, path: str) -> None:
    async def drop(each: FleetNode) -> None:
        each.server.faults.close_before_answer = 1.0
        assert (await context.fleet.call(each, path)).status == 502
        each.server.faults.close_before_answer = 0.0
        await asyncio.sleep(0.3)

    async def drop_both() -> None:
        for each in context.fleet.fleet_nodes[:2]:
            others = [other for other in context.fleet.fleet_nodes[:4] if other is not each]
            await set_drained(others, True)
            await drop(each)
            await set_drained(others, False)

    run(context, drop_both())


@then("no request is suspected at node {number:d}")
def nothing_suspected(context: Any, number: int) -> None:
    assert len(fleet_node(context, number).node.quarantine.policy) == 0


@when("node 1 is told that this booking has crashed two servers")
def told_of_crashes(context: Any) -> None:
    async def tell() -> None:
        node = fleet_node(context, 1).node
        execution, *_ = node.serving.in_progress.values()
        crashes = (ServerCrash(1, 2.0, 0.1), ServerCrash(2, 1.0, 0.1))
        (fields,) = pack_suspect_reports([SuspectReport(execution.fingerprint, crashes)])
        node.quarantine.handle_bulletin(node.membership.self_member, fields)

    run(context, tell())


@then(
    "one of the bookings is answered {status:d} within {limit:g} s, "
    "to retry after {seconds:g} s or more"
)
def one_answered(context: Any, status: int, limit: float, seconds: float) -> None:
    async def first() -> CallResult:
        done, _ = await asyncio.wait(
            context.bookings, timeout=limit, return_when=asyncio.FIRST_COMPLETED
        )
        assert len(done) == 1, done
        context.bookings.remove(task := done.pop())
        return task.result()

    result = run(context, first())
    assert result.status == status and float(result.headers["Retry-After"]) >= seconds, result


@then("the other one is answered {status:d}")
def other_answered(context: Any, status: int) -> None:
    (task,) = context.bookings
    result = run(context, task)
    assert result.status == status, result
