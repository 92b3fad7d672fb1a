"""Steps with real nodes that use the platform interface."""

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import aiohttp
import attrs
from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import HOST_NAME, CallResult, FleetNode, PlatformFleet, route
from marjoramtide.errors import MarjoramtideError
from marjoramtide.serving import BackendState
from marjoramtide.settings.sync import ChangeRequest
from standins.expected_body import expected_body
from standins.platform._backend import SEAL_PREFIX

use_step_matcher("parse")

BODY_BYTES = 256
RETRY_INTERVAL_S = 0.05
HALF_ARRIVES_S = 0.2
# Longer than a health check that has begun.
CHECK_ENDS_S = 1.2
LOOKUPS = "/charts/7"
BOOKINGS = "/book/7"
LONG_TIMEOUTS = {"TimeoutMs": 9000, "TargetLatencyMs": 8500}


@attrs.frozen(slots=True)
class CutCall:
    """A request whose answer is cut off by its server, and the size of the whole body."""

    path: str
    size: int
    task: "asyncio.Task[CallResult]"

    def is_whole(self, result: CallResult) -> bool:
        return result.body == expected_body(result.attempt, self.size)


def run(context: Any, work: Any) -> Any:
    return context.runner.run(asyncio.wait_for(work, 30))


def fleet_node(context: Any, number: int) -> FleetNode:
    return context.fleet.fleet_nodes[number - 1]


def start_fleet(context: Any) -> PlatformFleet:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.fleet = PlatformFleet()
    run(context, context.fleet.start())
    context.cleanup.callback(lambda: run(context, context.fleet.close()))
    return context.fleet


async def populate_fleet(fleet: PlatformFleet, services: list[str], **node_options: Any) -> None:
    for service in services:
        await fleet.add_node(service, **node_options)
    fleet.configure(
        4,
        [
            route("/tiles/", {"mapdesk": 1}),
            route("/book/", {"mapdesk": 1}, kind="non_idempotent", **LONG_TIMEOUTS),
        ],
    )


@given("a fleet on the platform: {services}")
def given_fleet(context: Any, services: str) -> None:
    fleet = start_fleet(context)
    run(context, populate_fleet(fleet, services.split(", ")))
    run(context, fleet.settle())


@given("a fleet on the platform with 1 slot of {milliseconds:d} ms: {services}")
def given_slow_fleet(context: Any, milliseconds: int, services: str) -> None:
    fleet = start_fleet(context)
    sizes = {"slots": 1, "service_ms": float(milliseconds)}
    run(context, populate_fleet(fleet, services.split(", "), instance="", **sizes))


async def register_first_time(each: FleetNode) -> None:
    """Give the server of a node its instance id, and register it."""
    each.server.instance = "i-1"
    await each.registrant.heartbeat("i-1")


@given("a node on the platform whose store is unavailable")
def given_no_store(context: Any) -> None:
    fleet = start_fleet(context)
    fleet.store.mode = "refuse"
    run(context, fleet.add_node("mapdesk"))


@given("a node on the platform whose store holds no configuration")
def given_no_configuration(context: Any) -> None:
    fleet = start_fleet(context)

    async def start() -> None:
        context.started = time.monotonic()
        await fleet.add_node("mapdesk")
        await asyncio.sleep(0.5)

    run(context, start())


@then("the store was asked for it at most once in half a second")
def asked_rarely(context: Any) -> None:
    allowed = 1 + (time.monotonic() - context.started) / 0.5
    assert context.fleet.store.calls["GET"] <= allowed, (context.fleet.store.calls, allowed)


@given('a route "{prefix}" that is {first:d} parts mapdesk and {second:d} part licencehub')
def given_split(context: Any, prefix: str, first: int, second: int) -> None:
    split = {"mapdesk": first, "licencehub": second}
    context.fleet.configure(5, [*context.fleet.routes, route(prefix, split)])
    run(context, context.fleet.wait_for(lambda: all_at(context, 5)))


def all_at(context: Any, revision: int) -> bool:
    return all(each.node.view.revision == revision for each in context.fleet.fleet_nodes)


@given("the server of node {number:d} answers the next request twice")
def given_duplicate_response(context: Any, number: int) -> None:
    fleet_node(context, number).server.duplicate_responses = 1


@given("the server of node {number:d} falls silent amid its answers, which have {what} length")
def given_halves(context: Any, number: int, what: str) -> None:
    server = fleet_node(context, number).server
    server.sends_halves = True
    server.is_framed = what == "a"
    lookups = route("/charts/", {"mapdesk": 1}, **LONG_TIMEOUTS)
    context.fleet.configure(5, [*context.fleet.routes, lookups])
    run(context, context.fleet.wait_for(lambda: all_at(context, 5)))


@when("lookups and bookings of {small:d} and {large:d} bytes are under way there through all nodes")
def start_cut_calls(context: Any, small: int, large: int) -> None:
    fleet, server = context.fleet, fleet_node(context, 1).server
    headers = {"X-Deadline-Ms": "9000"}

    async def start() -> None:
        context.calls = [
            CutCall(
                path,
                size,
                asyncio.create_task(fleet.call(each, f"{path}?bytes={size}", headers=headers)),
            )
            for each in fleet.fleet_nodes
            for path in (LOOKUPS, BOOKINGS)
            for size in (small, large)
        ]
        await fleet.wait_for(lambda: len(server.executed_headers) == len(context.calls))
        await asyncio.sleep(HALF_ARRIVES_S)
        server.sends_halves = False
        server.instance = "i-2"

    run(context, start())


def cut_results(context: Any) -> list[tuple[CutCall, Any]]:
    """Return each call with its result or error."""
    run(context, asyncio.wait([call.task for call in context.calls]))
    return [(call, call.task.exception() or call.task.result()) for call in context.calls]


@then("no client gets a part of a body that looks whole")
def no_part_looks_whole(context: Any) -> None:
    for call, result in cut_results(context):
        if isinstance(result, aiohttp.ClientPayloadError):
            continue
        assert result.status == 502 or call.is_whole(result), (result.status, len(result.body))


@then("one of the lookups is answered whole, and the bookings got 502 and ran once each")
def lookup_is_whole(context: Any) -> None:
    results = cut_results(context)
    lookups = [(call, result) for call, result in results if call.path == LOOKUPS]
    assert any(result.status == 200 and call.is_whole(result) for call, result in lookups), results
    bookings = [result for call, result in results if call.path == BOOKINGS]
    assert [result.status for result in bookings] == [502] * len(bookings), bookings
    ran = Counter(
        headers["x-attempt-id"]
        for each in context.fleet.fleet_nodes
        for headers in each.server.executed_headers
    )
    assert [ran[result.attempt] for result in bookings] == [1] * len(bookings), ran


@given("the server of node {number:d} is down, and its health is not read again")
def given_down(context: Any, number: int) -> None:
    node = fleet_node(context, number)
    node.server.simulate_crash()
    run(context, context.fleet.wait_for(lambda: node.node.server.state is BackendState.DOWN))

    async def never_check() -> None:
        await asyncio.Event().wait()

    node.node.server.health_checker.check = never_check
    run(context, asyncio.sleep(CHECK_ENDS_S))


@when('it starts again as "{instance}" and registers, and a client asks node 1 for "{path}"')
def starts_again(context: Any, instance: str, path: str) -> None:
    first = fleet_node(context, 1)

    async def start() -> CallResult:
        await first.server.restart(instance)
        assert await first.registrant.heartbeat(instance, sequence=1) == 200
        return await context.fleet.call(first, path)

    context.result = run(context, start())


@given("every server answers the next request without a seal")
def given_unsealed(context: Any) -> None:
    for each in context.fleet.fleet_nodes:
        each.server.unsealed_responses = 1


@step('the server of node {number:d} becomes instance "{instance}" without registering')
def becomes_instance(context: Any, number: int, instance: str) -> None:
    fleet_node(context, number).server.instance = instance


@given("node {number:d} is replaced by a node of another service")
def node_replaced(context: Any, number: int) -> None:
    fleet_node(context, number).node.serving.service = "another"


@when('the server of node {number:d} registers as "{instance}"')
def registers(context: Any, number: int, instance: str) -> None:
    assert (
        run(context, fleet_node(context, number).registrant.heartbeat(instance, sequence=1)) == 200
    )
    run(
        context,
        context.fleet.wait_for(lambda: context.fleet.knows_all(fleet_node(context, number))),
    )


@when('a client asks node {number:d} for "{path}"')
def client_asks(context: Any, number: int, path: str) -> None:
    context.result = run(context, context.fleet.call(fleet_node(context, number), path))


@when('a client asks node {number:d} for "{path}" with headers')
def client_asks_with_headers(context: Any, number: int, path: str) -> None:
    headers = {row["name"]: row["value"] for row in context.table}
    work = context.fleet.call(fleet_node(context, number), path, headers=headers)
    context.result = run(context, work)


@when('a client asks node {number:d} for "{path}" {count:d} times')
def client_asks_repeatedly(context: Any, number: int, path: str, count: int) -> None:
    context.before = [len(each.server.executed_headers) for each in context.fleet.fleet_nodes]
    context.results = []
    for _ in range(count):
        context.result = run(context, context.fleet.call(fleet_node(context, number), path))
        assert context.result.status == 200, context.result
        context.results.append(context.result)


@when("a client books through node {number:d}")
def client_books(context: Any, number: int) -> None:
    work = context.fleet.call(
        fleet_node(context, number), "/book/7", method="POST", body=b"booking"
    )
    context.result = run(context, work)


@then("the client gets 200 with the seal and the whole body of its own request")
def client_gets_whole_response(context: Any) -> None:
    result = context.result
    assert result.status == 200, result
    assert result.headers["X-Response-Seal"] == SEAL_PREFIX + result.attempt, result.headers
    assert result.headers["X-Attempt-Id"] == result.attempt
    assert result.body == expected_body(result.attempt, BODY_BYTES)


@then("the client got 200 with the seal and the whole body of its own request each time")
def client_got_whole_response_each_time(context: Any) -> None:
    assert context.results
    for result in context.results:
        context.result = result
        client_gets_whole_response(context)


@then("the client gets no success without a seal")
def client_gets_no_unsealed_success(context: Any) -> None:
    result = context.result
    assert result.status >= 500 or "X-Response-Seal" in result.headers, result


@then("the client gets {status:d}")
def client_gets(context: Any, status: int) -> None:
    assert context.result.status == status, context.result


@then("the client gets {status:d} and a retry hint")
def client_gets_retry_hint(context: Any, status: int) -> None:
    assert context.result.status == status, context.result
    assert float(context.result.headers["Retry-After"]) >= 0


@then('a mapdesk server ran it with the service "{service}" as the caller')
def ran_with(context: Any, service: str) -> None:
    headers = last_run(context)
    assert headers["x-calling-service"] == service, headers


@then("it ran for the instance that is registered, with less time than the client gives")
def ran_for(context: Any) -> None:
    headers = last_run(context)
    assert headers["x-expected-instance"] == "i-1", headers
    assert 0 < float(headers["x-deadline-ms"]) <= 1000, headers


def last_run(context: Any) -> dict[str, str]:
    attempt = context.result.attempt
    found = [
        headers
        for each in context.fleet.fleet_nodes
        for headers in each.server.executed_headers
        if headers["x-attempt-id"] == attempt
    ]
    assert len(found) == 1, found
    return found[0]


@then("no server ran anything")
def ran_nothing(context: Any) -> None:
    assert not any(each.server.executed_headers for each in context.fleet.fleet_nodes)


@then("node {number:d} does not take callers")
def not_ready(context: Any, number: int) -> None:
    assert not run(context, fleet_node(context, number).is_ready())


@then("mapdesk ran {least:d} to {most:d} of them")
def ran_share(context: Any, least: int, most: int) -> None:
    count = sum(
        len(each.server.executed_headers)
        for each in context.fleet.fleet_nodes
        if each.settings.service == "mapdesk"
    )
    assert least <= count <= most, count


@when("the server of node {number:d} reports that it drains")
def server_drains(context: Any, number: int) -> None:
    fleet_node(context, number).server.faults.drain = True
    assert (
        run(context, fleet_node(context, number).registrant.heartbeat("i-1", state="draining"))
        == 200
    )


@when("the server of node {number:d} reports that it drains, while its health is good")
def server_drains_while_healthy(context: Any, number: int) -> None:
    assert (
        run(context, fleet_node(context, number).registrant.heartbeat("i-1", state="draining"))
        == 200
    )


@then("no server is registered at node {number:d}")
def none_registered(context: Any, number: int) -> None:
    registrar = fleet_node(context, number).node.server.registrar
    assert registrar is not None and registrar.current is None


@when("the server of node {number:d} leaves")
def server_leaves(context: Any, number: int) -> None:
    assert run(context, fleet_node(context, number).registrant.leave("i-1")) == 200


@when("an old heartbeat of the server of node {number:d} arrives")
def old_heartbeat(context: Any, number: int) -> None:
    assert run(context, fleet_node(context, number).registrant.heartbeat("i-1", sequence=1)) == 200


@when('a heartbeat of instance "{instance}" arrives at node {number:d}')
def earlier_instance_heartbeat(context: Any, instance: str, number: int) -> None:
    assert (
        run(context, fleet_node(context, number).registrant.heartbeat(instance, sequence=99)) == 200
    )


@then("the server of node {number:d} ran none of them")
def server_ran_none(context: Any, number: int) -> None:
    before = context.before[number - 1]
    assert len(fleet_node(context, number).server.executed_headers) == before


@then("the server of node {number:d} ran {count:d} of them")
def server_ran_count(context: Any, number: int, count: int) -> None:
    assert len(fleet_node(context, number).server.executed_headers) == count


def begin_booking(context: Any, entry: FleetNode) -> Coroutine[Any, Any, CallResult]:
    """Return a coroutine that sends a booking with a deadline of nine seconds."""
    headers = {"X-Deadline-Ms": "9000"}
    return context.fleet.call(entry, "/book/7", method="POST", body=b"booking", headers=headers)


@given("{count:d} bookings are in progress through node 1, where only node 1 has a server")
def given_bookings(context: Any, count: int) -> None:
    first = fleet_node(context, 1)

    async def begin() -> None:
        await register_first_time(first)
        ready = first.node.serving.admission
        await context.fleet.wait_for(lambda: ready.report(0.0).accepts)
        await context.fleet.wait_for(first.node.accepts_callers)
        work = [begin_booking(context, first) for _ in range(count)]
        context.bookings = [asyncio.create_task(each) for each in work]
        await context.fleet.wait_for(lambda: len(first.node.serving.queue.waiting) == count - 1)

    run(context, begin())


@when("the server of node 1 reports that it drains and that of node 2 registers")
def drains_and_registers(context: Any) -> None:
    async def change() -> None:
        second = fleet_node(context, 2)
        await register_first_time(second)
        name = second.node.name
        members = fleet_node(context, 1).node.membership.members_of
        await context.fleet.wait_for(
            lambda: any(member.node == name for member in members("mapdesk"))
        )
        await fleet_node(context, 1).registrant.heartbeat("i-1", state="draining")

    run(context, change())


@then("all {count:d} bookings are answered 200, each run once")
def all_booked(context: Any, count: int) -> None:
    async def collect() -> list[Any]:
        return await asyncio.gather(*context.bookings)

    results = run(context, collect())
    assert [result.status for result in results] == [200] * count, results
    ran = [
        headers["x-attempt-id"]
        for each in context.fleet.fleet_nodes
        for headers in each.server.executed_headers
    ]
    assert sorted(ran) == sorted(result.attempt for result in results)


@then("node {number:d} refuses the heartbeat of another service with {status:d}")
def other_service(context: Any, number: int, status: int) -> None:
    registrant = fleet_node(context, number).registrant
    registrant.service = "another"
    assert run(context, registrant.heartbeat("i-9")) == status


@then("node {number:d} refuses a heartbeat that is no JSON with {status:d}")
def heartbeat_not_json(context: Any, number: int, status: int) -> None:
    async def send() -> int:
        url = f"http://{fleet_node(context, number).settings.registration}/instances/i-9"
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, data=b"{{{") as response,
        ):
            return response.status

    assert run(context, send()) == status


@step('the operator adds a route "{prefix}" to {service} as version {version:d}')
def adds_route(context: Any, prefix: str, service: str, version: int) -> None:
    context.fleet.configure(version, [*context.fleet.routes, route(prefix, {service: 1})])


@when("the operator drops all routes as version {version:d}")
def drops_routes(context: Any, version: int) -> None:
    context.fleet.configure(version, [])


@when(
    "the operator writes a configuration without routes' names of services as version {version:d}"
)
def writes_invalid_configuration(context: Any, version: int) -> None:
    broken = [{"Host": HOST_NAME, "PathPrefix": "/tiles/"}]
    context.fleet.configure(version, broken)


@step('"{path}" is served through every node within {seconds:d} s')
def served_everywhere(context: Any, path: str, seconds: int) -> None:
    run(context, answered_everywhere(context, path, 200, seconds))


@then('"{path}" is answered {status:d} through every node within {seconds:d} s')
def answered(context: Any, path: str, status: int, seconds: int) -> None:
    run(context, answered_everywhere(context, path, status, seconds))


async def answered_everywhere(context: Any, path: str, status: int, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        for each in context.fleet.fleet_nodes:
            while (await context.fleet.call(each, path)).status != status:
                await asyncio.sleep(RETRY_INTERVAL_S)


@when("{seconds:d} s pass")
def pass_time(context: Any, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))


@then('a client that asks node {number:d} for "{path}" gets {status:d}')
def asks_and_gets(context: Any, number: int, path: str, status: int) -> None:
    result = run(context, context.fleet.call(fleet_node(context, number), path))
    assert result.status == status, result


@when("the store goes away")
def store_away(context: Any) -> None:
    context.fleet.store.mode = "reset"
    context.fleet.store.state.notify_watchers()


@when("the store forgets its history")
def store_forgets(context: Any) -> None:
    context.fleet.store.state.compact_history()


@when("the store comes back")
def store_back(context: Any) -> None:
    context.fleet.store.mode = "up"


@then('the resolved settings of host "{host}" and path "{path}" hold')
def resolved(context: Any, host: str, path: str) -> None:
    _, found = fleet_node(context, 1).node.view.resolved(host, path)
    for row in context.table:
        actual = str(found.values[row["key"]]), found.origins[row["key"]]
        assert actual == (row["value"], row["origin"]), actual


@then("an operator who changes the settings through a node is told where to do so")
def told_where_to_change(context: Any) -> None:
    async def change() -> str:
        request = ChangeRequest(change="c", author="a", base=None, edits=None, text="x = 1")
        try:
            await fleet_node(context, 1).node.settings_service.change(request)
        except MarjoramtideError as error:
            return error.message
        return ""

    assert "another system" in run(context, change())


@given("its server keeps idle connections for {seconds:d} s, and its health is not read")
def keeps_idle(context: Any, seconds: int) -> None:
    first = fleet_node(context, 1)
    first.server.keep_alive_s = seconds

    async def never_check() -> None:
        # Health checks would use the connection of the bookings and keep it from being idle.
        await asyncio.Event().wait()

    first.node.server.health_checker.check = never_check
    run(context, asyncio.sleep(1.5))


@when("a booking is made, and another one {seconds:g} s later")
def two_bookings(context: Any, seconds: float) -> None:
    async def book() -> None:
        first = await begin_booking(context, fleet_node(context, 1))
        await asyncio.sleep(seconds)
        context.two_bookings = [first, await begin_booking(context, fleet_node(context, 1))]

    run(context, book())


@then("both bookings are answered 200")
def both_booked(context: Any) -> None:
    assert [result.status for result in context.two_bookings] == [200, 200], context.two_bookings
