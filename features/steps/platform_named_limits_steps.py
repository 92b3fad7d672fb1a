"""Steps with real nodes beside backend servers that state rate limits, or that they leave."""

import asyncio
import time
from typing import Any

import attrs
from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.limits import AnnouncedRate, LookupResponse, Lookups, fullest_window
from features.platform_harness import FleetNode, route
from features.steps.platform_node_steps import run, start_fleet

use_step_matcher("parse")

HEARTBEAT_INTERVAL_S = 0.3
# Time after a stall in which a node has checked its settings, while all other nodes do the same.
SETTINGS_CHECK_S = 1.0


@attrs.define(slots=True, eq=False)
class LimitRun:
    """The lookups of a scenario, the limited servers and the limits that they stated."""

    lookups: Lookups
    named: list[AnnouncedRate] = attrs.Factory(list)
    limited: list[FleetNode] = attrs.Factory(list)


@given("{count:d} servers on the platform that run lookups for {ms:d} ms")
def given_servers(context: Any, count: int, ms: int) -> None:
    fleet = start_fleet(context)

    async def begin() -> None:
        for number in range(count):
            location = f"z{number % 2}"
            await fleet.add_node("mapdesk", service_ms=float(ms), slots=18, data_centre=location)
        fleet.configure(4, [route("/tiles/", {"mapdesk": 1}, MaxAttempts=2)])
        await fleet.settle()

    run(context, begin())

    async def send(turn: int, attempt: str) -> LookupResponse:
        result = await fleet.call(fleet.fleet_nodes[turn], attempt=attempt)
        return LookupResponse(result.status, result.headers)

    context.limit_run = LimitRun(Lookups(count, send))


@given("their health says what their answers do")
def given_stating(context: Any) -> None:
    for each in context.fleet.fleet_nodes:
        each.server.health_has_statements = True


@given("their health says nothing")
def given_silent(context: Any) -> None:
    for each in context.fleet.fleet_nodes:
        each.server.health_has_statements = False


@when("{per_s:d} lookups a second come through all nodes")
def when_come(context: Any, per_s: int) -> None:
    async def begin() -> None:
        context.lookup_task = asyncio.create_task(context.limit_run.lookups.send_at_rate(per_s))

    run(context, begin())


@step("{seconds:d} s pass while they come")
def when_pass(context: Any, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))


@when("after {seconds:d} s {count:d} of them name {rate} requests a second")
def when_name(context: Any, seconds: int, count: int, rate: str) -> None:
    async def name() -> None:
        await asyncio.sleep(seconds)
        limit_run = context.limit_run
        limit_run.limited = context.fleet.fleet_nodes[:count]
        for each in limit_run.limited:
            each.server.rate = rate
        limit_run.named.append(AnnouncedRate(time.monotonic(), float(rate)))

    run(context, name())


@when("after {seconds:d} s they name no limit any more")
def when_no_limit(context: Any, seconds: int) -> None:
    async def remove_limit() -> None:
        await asyncio.sleep(seconds)
        for each in context.limit_run.limited:
            each.server.rate = None

    run(context, remove_limit())


@when("after {seconds:d} s a new instance of the first server, without a limit, replaces it")
def when_replaced(context: Any, seconds: int) -> None:
    async def replace() -> None:
        await asyncio.sleep(seconds)
        first = context.fleet.fleet_nodes[0]
        first.server.simulate_crash()
        first.server.rate = None
        await first.server.restart("i-2")
        await first.registrant.heartbeat("i-2")

    run(context, replace())


@step("after {seconds:d} s the node beside the first server is started anew")
def when_restarted(context: Any, seconds: int) -> None:
    async def restart() -> None:
        await asyncio.sleep(seconds)
        lookups = context.limit_run.lookups
        lookups.down.add(0)
        lookups.start_new_run(0)
        await context.fleet.restart_node(0)
        await context.fleet.fleet_nodes[0].registrant.heartbeat("i-1")
        await context.fleet.wait_for(context.fleet.fleet_nodes[0].node.accepts_callers)
        lookups.down.discard(0)

    run(context, restart())


@when(
    "after {seconds:d} s the first server says that it leaves, "
    "while its heartbeats say that it is ready"
)
def when_leaves(context: Any, seconds: int) -> None:
    async def send_heartbeats() -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await context.fleet.fleet_nodes[0].registrant.heartbeat("i-1")

    async def leave() -> None:
        await asyncio.sleep(seconds)
        context.fleet.fleet_nodes[0].server.is_leaving = True
        context.heartbeat_task = asyncio.create_task(send_heartbeats())

    run(context, leave())


async def finish_lookups(context: Any) -> None:
    context.lookup_task.cancel()
    if heartbeats := getattr(context, "heartbeat_task", None):
        heartbeats.cancel()
    await context.limit_run.lookups.wait_for_responses()


@then("each of these got no more than its limit allows")
def then_within(context: Any) -> None:
    run(context, finish_lookups(context))
    limit_run = context.limit_run
    for each in limit_run.limited:
        told = limit_run.lookups.first_notified_at(each.server, "Server-Limit")
        window = fullest_window(limit_run.named, limit_run.lookups.requests_at(each.server), told)
        assert window is None or window.is_within, window


@then("each of these got at least {least:d} in the last {seconds:d} s")
def then_got(context: Any, least: int, seconds: int) -> None:
    run(context, finish_lookups(context))
    limit_run = context.limit_run
    last_sent_at = max(sent_at for _, sent_at in limit_run.lookups.sent.values())
    for each in limit_run.limited:
        count = sum(
            last_sent_at - seconds < arrival.at <= last_sent_at for arrival in each.server.received
        )
        assert count >= least, count


@then("each lookup that was refused has a retry hint")
def then_hint(context: Any) -> None:
    refused = [each for each in context.limit_run.lookups.completed if each.response.status == 503]
    hints = [float(each.response.headers.get("Retry-After", 0)) for each in refused]
    assert all(hint > 0 for hint in hints), hints


@then("no node sent it a request later than {seconds:d} s after passing its statement on")
def then_no_late_requests(context: Any, seconds: int) -> None:
    run(context, finish_lookups(context))
    lookups, first = context.limit_run.lookups, context.fleet.fleet_nodes[0]
    told = lookups.first_notified_at(first.server, "Server-Leaving")
    assert told, "no node has passed the statement on"
    late = lookups.late_at(first.server, told, seconds)
    assert not late, f"{len(late)} requests"


@then("at least {share:d} in 100 of the lookups were answered 200")
def then_answered(context: Any, share: int) -> None:
    run(context, finish_lookups(context))
    # After a stall, a node refuses requests until it has checked that its settings are current.
    stalls = context.fleet.loop_stalls
    lookups = [
        each
        for each in context.limit_run.lookups.completed
        if not stalls.overlaps(each.started_at, each.ended_at, SETTINGS_CHECK_S)
    ]
    good = sum(each.response.status == 200 for each in lookups)
    assert good * 100 >= share * len(lookups), (good, len(lookups), stalls.stalls)
    assert len(lookups) * 2 > len(context.limit_run.lookups.completed), stalls.stalls
