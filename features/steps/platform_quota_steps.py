"""Steps with real nodes whose callers belong to workspaces with quotas."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs
from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import CallResult, FleetNode, PlatformFleet, route
from features.steps.platform_node_steps import run, start_fleet

use_step_matcher("parse")

KEYS = {"acme": "key-of-acme", "small": "key-of-small"}
QUOTAS = {"acme": (20, 10), "small": (2, 2)}
DATA_CENTRES = ("east", "east", "west", "west")
POOL_FILL_S = 1.5

NodeChooser = Callable[[float], FleetNode]


@attrs.frozen(slots=True)
class QuotaCall:
    """A request of a workspace: its time, in seconds after the first one, and its result."""

    sent_s: float
    result: CallResult


def tenants(quotas: dict[str, tuple[float, float]]) -> list[dict[str, Any]]:
    return [
        {"Name": name, "ApiKeys": [KEYS[name]], "RatePerS": rate, "Burst": burst}
        for name, (rate, burst) in quotas.items()
    ]


@given("a fleet with quotas")
def given_fleet(context: Any) -> None:
    fleet = start_fleet(context)
    fleet.tenants = tenants(QUOTAS)

    async def begin() -> None:
        for location in DATA_CENTRES:
            await fleet.add_node("mapdesk", data_centre=location, slots=30)
        fleet.configure(4, [route("/tiles/", {"mapdesk": 1}, TargetLatencyMs=900)])
        await fleet.settle()
        # A quota pool is full once a node has owned it for a while.
        await asyncio.sleep(POOL_FILL_S)

    run(context, begin())


def make_chooser(fleet: PlatformFleet, how: str) -> NodeChooser:
    """Return a function from the seconds since the first request to the node to send to."""
    fleet_nodes, rng, turns = fleet.fleet_nodes, random.Random(1), iter(range(1 << 30))
    choosers: dict[str, NodeChooser] = {
        "spread over all nodes": lambda at_s: fleet_nodes[next(turns) % len(fleet_nodes)],
        "by one node": lambda at_s: fleet_nodes[0],
        "by another node each second": lambda at_s: fleet_nodes[int(at_s) % len(fleet_nodes)],
        "by one node after the other at random": lambda at_s: rng.choice(fleet_nodes),
        "to the data centre west": lambda at_s: rng.choice(fleet_nodes[2:]),
    }
    return choosers[how]


async def send_requests(
    fleet: PlatformFleet, workspace: str, count: int, seconds: float, choose: NodeChooser
) -> list[QuotaCall]:
    started_at = time.monotonic()

    async def send_one(number: int) -> QuotaCall | None:
        await asyncio.sleep(number * seconds / count)
        sent_s = time.monotonic() - started_at
        headers = {"Authorization": f"Token {KEYS[workspace]}"}
        try:
            return QuotaCall(sent_s, await fleet.call(choose(sent_s), headers=headers))
        except OSError:
            return None  # the node was restarting

    calls = await asyncio.gather(*(send_one(number) for number in range(count)))
    return [each for each in calls if each is not None]


@when("{rate:d} requests a second of {workspace} come for {seconds:d} s {how}")
def when_come(context: Any, rate: int, workspace: str, seconds: int, how: str) -> None:
    how, _, fault = how.partition("while ")
    if fault:
        send_during_fault(context, rate, workspace, seconds, fault)
        return
    how, _, east_ended = how.partition(" after east has ended")
    if east_ended or how == "to the data centre west":
        stop_east(context)
    if how == "by one node and then for 3 s by another":
        send_to_two_nodes(context, rate, workspace, seconds)
        return
    choose = make_chooser(context.fleet, how.strip())
    work = send_requests(context.fleet, workspace, rate * seconds, seconds, choose)
    context.calls = run(context, work)


def stop_east(context: Any) -> None:
    async def stop() -> None:
        east, west = context.fleet.fleet_nodes[:2], context.fleet.fleet_nodes[2:]
        for fleet_node in east:
            await context.fleet.stop_without_leaving(fleet_node.node)
        stopped = {fleet_node.node.name for fleet_node in east}
        await context.fleet.wait_for(
            lambda: all(
                not stopped & {member.node for member in fleet_node.node.membership.members()}
                for fleet_node in west
            )
        )

    run(context, stop())


def send_to_two_nodes(context: Any, rate: int, workspace: str, seconds: int) -> None:
    fleet_nodes = context.fleet.fleet_nodes
    context.moved_after_s = float(seconds)

    def choose(at_s: float) -> FleetNode:
        return fleet_nodes[0] if at_s < seconds else fleet_nodes[3]

    total = rate * seconds * 2
    context.calls = run(
        context, send_requests(context.fleet, workspace, total, seconds * 2, choose)
    )


def send_during_fault(context: Any, rate: int, workspace: str, seconds: int, fault: str) -> None:
    fleet = context.fleet
    faults: dict[str, Callable[[], Awaitable[None]]] = {
        "the node that owns its quota is started again": lambda: restart_owner(fleet, workspace),
        "all nodes are started again one by one": lambda: restart_all(fleet),
        "the store is away": lambda: lose_store(fleet),
    }

    async def send_all() -> None:
        choose = make_chooser(fleet, "spread over all nodes")
        callers = send_requests(fleet, workspace, rate * seconds, seconds, choose)
        context.calls, _ = await asyncio.gather(callers, faults[fault]())

    run(context, send_all())


async def restart_owner(fleet: PlatformFleet, workspace: str) -> None:
    await asyncio.sleep(1.0)
    owner = fleet.fleet_nodes[0].node.quotas.owners.owners_of(workspace)[0].peer_address
    numbers = [
        number
        for number, fleet_node in enumerate(fleet.fleet_nodes)
        if fleet_node.settings.peers == owner
    ]
    await fleet.restart_node(numbers[0])


async def restart_all(fleet: PlatformFleet) -> None:
    for number in range(len(fleet.fleet_nodes)):
        await asyncio.sleep(0.7)
        await fleet.restart_node(number)


async def lose_store(fleet: PlatformFleet) -> None:
    await asyncio.sleep(0.5)
    fleet.store.mode = "refuse"


@when("{count:d} requests of {workspace} come one by one in {seconds:d} s {how}")
def when_one_by_one(context: Any, count: int, workspace: str, seconds: int, how: str) -> None:
    work = send_requests(context.fleet, workspace, count, seconds, make_chooser(context.fleet, how))
    context.calls = run(context, work)


@step("a version lowers the quota of acme to {rate:d} a second and {burst:d} at once")
def version_lowers(context: Any, rate: int, burst: int) -> None:
    fleet = context.fleet
    fleet.tenants = tenants(QUOTAS | {"acme": (rate, burst)})
    fleet.configure(5)
    in_force = fleet.wait_for(
        lambda: all(each.node.view.revision == 5 for each in fleet.fleet_nodes)
    )
    run(context, in_force)


@when("{count:d} requests of {workspace} are refused by full servers within {seconds:d} s")
def when_servers_full(context: Any, count: int, workspace: str, seconds: int) -> None:
    fleet = context.fleet

    async def send_all() -> None:
        for each in fleet.fleet_nodes:
            each.node.serving.set_accepting(False)
        choose = make_chooser(fleet, "spread over all nodes")
        calls = await send_requests(fleet, workspace, count, seconds, choose)
        assert {each.result.status for each in calls} <= {503, 429}, calls
        assert sum(each.result.status == 503 for each in calls) * 2 > count, calls
        for each in fleet.fleet_nodes:
            each.node.serving.set_accepting(True)

    run(context, send_all())


@step("2 s later {count:d} requests of {workspace} come at once")
def when_come_later(context: Any, count: int, workspace: str) -> None:
    async def send_all() -> Sequence[QuotaCall]:
        await asyncio.sleep(2.0)
        choose = make_chooser(context.fleet, "spread over all nodes")
        return await send_requests(context.fleet, workspace, count, 0.1, choose)

    context.calls = run(context, send_all())


def calls_that_ran(context: Any) -> list[QuotaCall]:
    attempts = {
        headers["x-attempt-id"]
        for each in context.fleet.fleet_nodes
        for headers in each.server.executed_headers
    }
    return [each for each in context.calls if each.result.attempt in attempts]


@then("at most {most:d} of them ran")
def then_at_most(context: Any, most: int) -> None:
    count = len(calls_that_ran(context))
    assert count <= most, count


@then("at most {most:d} of them ran, and at least {least:d}")
def then_between(context: Any, most: int, least: int) -> None:
    count = len(calls_that_ran(context))
    assert least <= count <= most, count


@then("at least {least:d} of them ran")
def then_at_least(context: Any, least: int) -> None:
    count = len(calls_that_ran(context))
    assert count >= least, (count, [each.result.status for each in context.calls])


@step("each of the others was refused with 429 and a retry hint, and didn't run")
def others_refused(context: Any) -> None:
    served = {each.result.attempt for each in calls_that_ran(context)}
    others = [each for each in context.calls if each.result.attempt not in served]
    wrong = [
        each
        for each in others
        if each.result.status != 429 or float(each.result.headers.get("Retry-After", 0)) <= 0
    ]
    assert not wrong, wrong


@then("95 in 100 of those that came later than 1 s after the move ran")
def then_followed(context: Any) -> None:
    late = [each for each in context.calls if each.sent_s > context.moved_after_s + 1]
    good = [each for each in calls_that_ran(context) if each.sent_s > context.moved_after_s + 1]
    assert len(good) * 100 >= 95 * len(late), (len(good), len(late))
