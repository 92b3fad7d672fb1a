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
PLACES = ("east", "east", "west", "west")
KNOWN_S = 1.5

Choose = Callable[[float], FleetNode]


@attrs.frozen(slots=True)
class QuotaCall:
    """A request of a workspace: when it was sent, in seconds after the first, and what came."""

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
        for place in PLACES:
            await fleet.add_node("mapdesk", data_centre=place, slots=30)
        fleet.configure(4, [route("/tiles/", {"mapdesk": 1}, TargetLatencyMs=900)])
        await fleet.settle()
        # Pools are full once they have been owned for a while.
        await asyncio.sleep(KNOWN_S)

    run(context, begin())


def chooser(fleet: PlatformFleet, how: str) -> Choose:
    """Return which seat a request enters by, by how many seconds after the first it comes."""
    fleet_nodes, rng, turns = fleet.fleet_nodes, random.Random(1), iter(range(1 << 30))
    ways: dict[str, Choose] = {
        "spread over all nodes": lambda at_s: fleet_nodes[next(turns) % len(fleet_nodes)],
        "by one node": lambda at_s: fleet_nodes[0],
        "by another node each second": lambda at_s: fleet_nodes[int(at_s) % len(fleet_nodes)],
        "by one node after the other at random": lambda at_s: rng.choice(fleet_nodes),
        "to the data centre west": lambda at_s: rng.choice(fleet_nodes[2:]),
    }
    return ways[how]


async def come(
    fleet: PlatformFleet, workspace: str, count: int, seconds: float, choose: Choose
) -> list[QuotaCall]:
    began = time.monotonic()

    async def call(number: int) -> QuotaCall | None:
        await asyncio.sleep(number * seconds / count)
        sent_s = time.monotonic() - began
        headers = {"Authorization": f"Token {KEYS[workspace]}"}
        try:
            return QuotaCall(sent_s, await fleet.call(choose(sent_s), headers=headers))
        except OSError:
            return None  # its node was just being started again

    calls = await asyncio.gather(*(call(number) for number in range(count)))
    return [each for each in calls if each is not None]


@when("{rate:d} requests a second of {workspace} come for {seconds:d} s {how}")
def when_come(context: Any, rate: int, workspace: str, seconds: int, how: str) -> None:
    how, _, trouble = how.partition("while ")
    if trouble:
        when_troubled(context, rate, workspace, seconds, trouble)
        return
    how, _, lost = how.partition(" after east has ended")
    if lost or how == "to the data centre west":
        end_east(context)
    if how == "by one node and then for 3 s by another":
        when_moves(context, rate, workspace, seconds)
        return
    choose = chooser(context.fleet, how.strip())
    work = come(context.fleet, workspace, rate * seconds, seconds, choose)
    context.calls = run(context, work)


def end_east(context: Any) -> None:
    async def end() -> None:
        east, west = context.fleet.fleet_nodes[:2], context.fleet.fleet_nodes[2:]
        for fleet_node in east:
            await context.fleet.stop_without_leaving(fleet_node.node)
        gone = {fleet_node.node.name for fleet_node in east}
        await context.fleet.wait_for(
            lambda: all(
                not gone & {member.node for member in fleet_node.node.membership.members()}
                for fleet_node in west
            )
        )

    run(context, end())


def when_moves(context: Any, rate: int, workspace: str, seconds: int) -> None:
    fleet_nodes = context.fleet.fleet_nodes
    context.moved_s = float(seconds)

    def choose(at_s: float) -> FleetNode:
        return fleet_nodes[0] if at_s < seconds else fleet_nodes[3]

    total = rate * seconds * 2
    context.calls = run(context, come(context.fleet, workspace, total, seconds * 2, choose))


def when_troubled(context: Any, rate: int, workspace: str, seconds: int, trouble: str) -> None:
    fleet = context.fleet
    troubles: dict[str, Callable[[], Awaitable[None]]] = {
        "the node that owns its quota is started again": lambda: restart_owner(fleet, workspace),
        "all nodes are started again one by one": lambda: restart_all(fleet),
        "the store is away": lambda: lose_store(fleet),
    }

    async def play() -> None:
        choose = chooser(fleet, "spread over all nodes")
        callers = come(fleet, workspace, rate * seconds, seconds, choose)
        context.calls, _ = await asyncio.gather(callers, troubles[trouble]())

    run(context, play())


async def restart_owner(fleet: PlatformFleet, workspace: str) -> None:
    await asyncio.sleep(1.0)
    owner = fleet.fleet_nodes[0].node.quotas.owners.of(workspace)[0].peer_address
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
def when_few(context: Any, count: int, workspace: str, seconds: int, how: str) -> None:
    work = come(context.fleet, workspace, count, seconds, chooser(context.fleet, how))
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
def when_full(context: Any, count: int, workspace: str, seconds: int) -> None:
    fleet = context.fleet

    async def play() -> None:
        for each in fleet.fleet_nodes:
            each.node.serving.set_accepting(False)
        choose = chooser(fleet, "spread over all nodes")
        calls = await come(fleet, workspace, count, seconds, choose)
        assert {each.result.status for each in calls} <= {503, 429}, calls
        assert sum(each.result.status == 503 for each in calls) * 2 > count, calls
        for each in fleet.fleet_nodes:
            each.node.serving.set_accepting(True)

    run(context, play())


@step("2 s later {count:d} requests of {workspace} come at once")
def come_later(context: Any, count: int, workspace: str) -> None:
    async def play() -> Sequence[QuotaCall]:
        await asyncio.sleep(2.0)
        choose = chooser(context.fleet, "spread over all nodes")
        return await come(context.fleet, workspace, count, 0.1, choose)

    context.calls = run(context, play())


def those_that_ran(context: Any) -> list[QuotaCall]:
    attempts = {
        headers["x-attempt-id"]
        for each in context.fleet.fleet_nodes
        for headers in each.server.seen
    }
    return [each for each in context.calls if each.result.attempt in attempts]


@then("at most {most:d} of them ran")
def then_at_most(context: Any, most: int) -> None:
    count = len(those_that_ran(context))
    assert count <= most, count


@then("at most {most:d} of them ran, and at least {least:d}")
def then_between(context: Any, most: int, least: int) -> None:
    count = len(those_that_ran(context))
    assert least <= count <= most, count


@then("at least {least:d} of them ran")
def then_at_least(context: Any, least: int) -> None:
    count = len(those_that_ran(context))
    assert count >= least, (count, [each.result.status for each in context.calls])


@step("each of the others was refused with 429 and a time to come back, and didn't run")
def others_refused(context: Any) -> None:
    served = {each.result.attempt for each in those_that_ran(context)}
    others = [each for each in context.calls if each.result.attempt not in served]
    wrong = [
        each
        for each in others
        if each.result.status != 429 or float(each.result.headers.get("Retry-After", 0)) <= 0
    ]
    assert not wrong, wrong


@then("95 in 100 of those that came later than 1 s after the move ran")
def then_followed(context: Any) -> None:
    late = [each for each in context.calls if each.sent_s > context.moved_s + 1]
    good = [each for each in those_that_ran(context) if each.sent_s > context.moved_s + 1]
    assert len(good) * 100 >= 95 * len(late), (len(good), len(late))
