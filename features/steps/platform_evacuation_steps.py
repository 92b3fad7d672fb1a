"""Steps with real nodes whose data centres are evacuated."""

import asyncio
import itertools
import json
import time
from collections.abc import Sequence
from typing import Any

from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import CallResult, route
from features.steps.platform_node_steps import LONG_TIMEOUTS, fleet_node, run, start_fleet
from marjoramtide.policy import EvacuationSnapshot, EvacuationState

use_step_matcher("parse")

EVACUATION_KIND = "evacuations"
# Nodes open their watch of the evacuations about two seconds after their start.
WATCH_TIMEOUT_S = 5.0


class IgnoringEvacuationState(EvacuationState):
    """The state of a node that ignores evacuations reported by other nodes."""

    def merge(self, heard: EvacuationSnapshot, now: float) -> bool:
        return False


async def add_nodes(context: Any, places: Sequence[str], **node_options: Any) -> None:
    """Start nodes, each described as "SERVICE at DATA_CENTRE"."""
    for place in places:
        service, data_centre = place.split(" at ")
        await context.fleet.add_node(service, data_centre=data_centre, **node_options)


def start_nodes(context: Any, places: str, **node_options: Any) -> None:
    fleet = start_fleet(context)
    run(context, add_nodes(context, places.split(", "), **node_options))
    fleet.configure(
        4,
        [
            route("/tiles/", {"mapdesk": 1}, MaxAttempts=2),
            route("/book/", {"mapdesk": 1}, kind="non_idempotent", **LONG_TIMEOUTS),
        ],
    )
    run(context, fleet.settle())
    run(context, wait_until_watched(context))


async def wait_until_watched(context: Any) -> None:
    """Wait until the store has a watch for evacuations, two seconds after the start."""
    calls = context.fleet.store.calls
    await context.fleet.wait_for(lambda: calls["watches"] >= 2, WATCH_TIMEOUT_S)


@given("nodes on the platform beside {places}")
def given_nodes(context: Any, places: str) -> None:
    start_nodes(context, places)


@given("nodes on the platform with {slots:d} slot of {milliseconds:d} ms beside {places}")
def given_slow_nodes(context: Any, slots: int, milliseconds: int, places: str) -> None:
    start_nodes(context, places, slots=slots, service_ms=float(milliseconds))


@given("a store on the platform in which {name} is evacuated")
def given_evacuated_store(context: Any, name: str) -> None:
    fleet = start_fleet(context)
    fleet.store.state.put(EVACUATION_KIND, name, Specification={})


@when("a node starts beside {place}")
def when_starts(context: Any, place: str) -> None:
    async def begin() -> None:
        await add_nodes(context, [place])
        fleet = context.fleet
        fleet.configure(5, [route("/tiles/", {"mapdesk": 1}, MaxAttempts=2)])
        started = fleet.fleet_nodes[-1]
        await started.registrant.heartbeat(started.server.instance)
        await fleet.wait_for(started.node.accepts_callers)

    run(context, begin())


@given("only the nodes at {name} learn of evacuations")
def given_ignoring_nodes(context: Any, name: str) -> None:
    """Have all other nodes ignore evacuations."""
    for each in context.fleet.fleet_nodes:
        if each.settings.data_centre != name:
            each.node.evacuations.policy = IgnoringEvacuationState()


@given("the store is unreachable for all nodes but node {number:d}")
def given_unreachable_store(context: Any, number: int) -> None:
    for position, each in enumerate(context.fleet.fleet_nodes, 1):
        if position != number:
            store = each.node.store
            store.url = "http://127.0.0.1:9"
            run(context, store.close())


@given("no changes of the store are sent by datagram")
def given_no_datagrams(context: Any) -> None:
    for each in context.fleet.fleet_nodes:
        each.node.evacuations.publish = lambda fields, readers: None


@step("the operator has evacuated {name}")
@step("the operator evacuates {names}")
def evacuates(context: Any, **named: str) -> None:
    names = (named.get("names") or named["name"]).split(" and ")
    for name in names:
        write(context, name, {})
    context.ordered_at = time.monotonic()


def write(context: Any, name: str, value: Any) -> None:
    async def put() -> None:
        context.fleet.store.state.put(EVACUATION_KIND, name, Specification=value)
        await asyncio.sleep(0.1)

    run(context, put())


@when("the operator evacuates {name} by an entry that holds {text}")
def evacuates_by(context: Any, name: str, text: str) -> None:
    write(context, name, json.loads(text))
    context.ordered_at = time.monotonic()


@step("the operator ends the evacuation of {name}")
def ends_evacuation(context: Any, name: str) -> None:
    async def remove() -> None:
        context.fleet.store.state.remove(EVACUATION_KIND, name)
        await asyncio.sleep(0.1)

    run(context, remove())
    context.ordered_at = time.monotonic()


@when("the operator ends the evacuation of {name} and evacuates it again")
def ends_evacuation_and_evacuates(context: Any, name: str) -> None:
    async def replace() -> None:
        state = context.fleet.store.state
        state.remove(EVACUATION_KIND, name)
        state.put(EVACUATION_KIND, name, Specification={})

    run(context, replace())
    context.ordered_at = time.monotonic()


@given("a copy of the store is kept")
def keep_copy(context: Any) -> None:
    context.copy = context.fleet.store.state.copy()


@when("the store comes back from the copy")
def come_back(context: Any) -> None:
    async def restore() -> None:
        context.fleet.store.state.restore(context.copy)

    run(context, restore())
    context.ordered_at = time.monotonic()


@step("{seconds:d} s passes on the platform")
def pass_time(context: Any, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))


def run_count(context: Any, name: str) -> int:
    """Return how many requests the servers of a data centre have run so far."""
    fleet_nodes = [each for each in context.fleet.fleet_nodes if each.settings.data_centre == name]
    return sum(len(each.server.executed_headers) for each in fleet_nodes)


async def ask_all(context: Any, after_s: float, count: int) -> list[CallResult]:
    await asyncio.sleep(max(0.0, context.ordered_at + after_s - time.monotonic()))
    turns = itertools.chain.from_iterable(itertools.repeat(context.fleet.fleet_nodes, count))
    return [await context.fleet.call(each) for each in turns]


@then(
    "from {after:g} s on {count:d} requests through each node are answered {status:d}, "
    "and none runs at {name}"
)
def none_runs(context: Any, after: float, count: int, status: int, name: str) -> None:
    async def ask() -> tuple[int, list[CallResult]]:
        await asyncio.sleep(max(0.0, context.ordered_at + after - time.monotonic()))
        before = run_count(context, name)
        results = await ask_all(context, 0.0, count)
        return run_count(context, name) - before, results

    ran, results = run(context, ask())
    statuses = {result.status for result in results}
    assert statuses == {status}, [result for result in results if result.status != status][:3]
    assert not ran, f"{ran} of {len(results)} ran at {name}"


@then("from {after:g} s on some of {count:d} requests through each node run at {name}")
def some_run(context: Any, after: float, count: int, name: str) -> None:
    async def ask() -> int:
        await asyncio.sleep(max(0.0, context.ordered_at + after - time.monotonic()))
        before = run_count(context, name)
        await ask_all(context, 0.0, count)
        return run_count(context, name) - before

    assert run(context, ask()), f"nothing ran at {name}"


@then("none has run at {name}")
def none_has_run(context: Any, name: str) -> None:
    assert not run_count(context, name)


@then(
    "{count:d} requests through node {number:d} are answered {status:d} "
    "with a retry hint within {seconds:g} s"
)
def refused_at_once(context: Any, count: int, number: int, status: int, seconds: float) -> None:
    async def ask() -> list[tuple[CallResult, float]]:
        timed = []
        for _ in range(count):
            started_at = time.monotonic()
            result = await context.fleet.call(fleet_node(context, number))
            timed.append((result, time.monotonic() - started_at))
        return timed

    # The first requests of a node that has just started may wait until it has found other nodes.
    run(context, asyncio.sleep(0.5))
    for result, took_s in run(context, ask()):
        assert result.status == status and "Retry-After" in result.headers, result
        assert took_s < seconds, took_s


@given("{count:d} bookings of {seconds:d} s through node {number:d} have begun")
def given_bookings(context: Any, count: int, seconds: int, number: int) -> None:
    async def book() -> None:
        context.bookings = [
            asyncio.create_task(
                context.fleet.call(
                    fleet_node(context, number),
                    "/book/7",
                    method="POST",
                    body=b"7",
                    headers={"X-Deadline-Ms": str(1000 * seconds)},
                )
            )
            for _ in range(count)
        ]
        await asyncio.sleep(0.1)

    run(context, book())


@then("all bookings are answered {status:d}, and each has run once")
def all_booked(context: Any, status: int) -> None:
    async def collect() -> list[CallResult]:
        return await asyncio.gather(*context.bookings)

    results = run(context, collect())
    assert {result.status for result in results} == {status}, results
    ran = [
        headers["x-attempt-id"]
        for each in context.fleet.fleet_nodes
        for headers in each.server.executed_headers
    ]
    assert sorted(ran) == sorted(result.attempt for result in results), ran


@then("no more than {count:d} has run at {name}")
def few_have_run(context: Any, count: int, name: str) -> None:
    assert run_count(context, name) <= count, run_count(context, name)


@then("node {number:d} has made at most 1 retry for each of {count:d} requests")
def few_retries(context: Any, number: int, count: int) -> None:
    retries = fleet_node(context, number).node.metrics.all_counts().get("ingress.retries", 0)
    assert 0 < retries <= count, retries


@when("the operator writes {count:d} versions, one each {seconds:g} s")
def write_versions(context: Any, count: int, seconds: float) -> None:
    fleet = context.fleet
    context.asked = fleet.store.calls["watches"]

    async def write() -> None:
        for number in range(count):
            fleet.configure(10 + number, [route("/tiles/", {"mapdesk": 1}, TimeoutMs=900 + number)])
            await asyncio.sleep(seconds)
        context.version = 10 + count - 1

    run(context, write())


@then("the last of them is in force everywhere within {seconds:d} s")
def last_in_force(context: Any, seconds: int) -> None:
    nodes = [each.node for each in context.fleet.fleet_nodes]
    known = context.fleet.wait_for(
        lambda: all(node.view.revision == context.version for node in nodes), float(seconds)
    )
    run(context, known)


@then("the nodes have asked for changes at most {most:d} times")
def asked_at_most(context: Any, most: int) -> None:
    asked = context.fleet.store.calls["watches"] - context.asked
    assert asked <= most, asked
