"""Steps for backend servers that restart with the same identity."""

import asyncio
import time
from typing import Any

from behave import given, step, then, when  # type: ignore[attr-defined]

from features.steps.platform_node_steps import begin_booking, fleet_node, register_first_time, run
from marjoramtide.exchange import LoadReport
from marjoramtide.policy import CallProfile
from marjoramtide.serving import Registration

INSTANCE = "i-1"
FAILURE_MS = 5000.0
FAILURES = 40


def registered(context: Any, number: int) -> Registration:
    registrar = fleet_node(context, number).node.server.registrar
    assert registrar is not None and registrar.current is not None
    return registrar.current


def report(context: Any, number: int) -> LoadReport:
    return fleet_node(context, number).node.serving.report(time.monotonic())


@given("the server of node {number:d} was born at {born:d} and has sent {count:d} heartbeats")
def born_with_heartbeats(context: Any, number: int, born: int, count: int) -> None:
    fleet_node(context, number).registrant.born = born
    has_sent(context, number, count)


@given("the server of node {number:d} has sent {count:d} heartbeats")
def has_sent(context: Any, number: int, count: int) -> None:
    registrant = fleet_node(context, number).registrant
    for _ in range(count):
        assert run(context, registrant.heartbeat(INSTANCE)) == 200


@given("a booking runs at the server of node 1 when that crashes without a word")
def crashes_during_booking(context: Any) -> None:
    """Crash it in the same iteration of the event loop, so that the booking can't end before."""
    each = fleet_node(context, 1)

    async def begin() -> None:
        await register_first_time(each)
        ready = each.node.serving.admission
        await context.fleet.wait_for(lambda: ready.report(0.0).accepts)
        await context.fleet.wait_for(each.node.accepts_callers)
        context.bookings = [asyncio.create_task(begin_booking(context, each))]
        await context.fleet.wait_for(lambda: each.server.slots.in_use == 1)
        each.server.restart_without_closing(each.registrant.slots)

    run(context, begin())


@step("the server of node {number:d} starts again under its identity, born at {born:d}")
def restarts(context: Any, number: int, born: int) -> None:
    each = fleet_node(context, number)
    each.server.faults.drain = False
    each.server.restart_without_closing(each.registrant.slots)
    each.registrant.born = born
    each.registrant.sequence = 0
    context.started_again_at = time.monotonic()
    assert run(context, each.registrant.heartbeat(INSTANCE)) == 200
    accepts = each.node.serving.admission.report
    run(context, context.fleet.wait_for(lambda: accepts(0.0).accepts, 1.0))


@when("a heartbeat of the start of {born:d} says that it drains")
def late_drain(context: Any, born: int) -> None:
    registrant = fleet_node(context, 1).registrant
    body = registrant.body(state="draining", sequence=99) | {"born": born}
    assert run(context, registrant.call("PUT", INSTANCE, body)) == 200


@when("a late heartbeat of the start of {born:d} arrives")
def late_heartbeat(context: Any, born: int) -> None:
    registrant = fleet_node(context, 1).registrant
    body = registrant.body(sequence=1) | {"born": born}
    assert run(context, registrant.call("PUT", INSTANCE, body)) == 200


@when("a departure of the start of {born:d} arrives")
def late_departure(context: Any, born: int) -> None:
    registrant = fleet_node(context, 1).registrant
    assert run(context, registrant.call("DELETE", INSTANCE, {"born": born})) == 200


@given("node 1 has learned that its server is slow and fails")
def has_learned(context: Any) -> None:
    serving = fleet_node(context, 1).node.serving
    now = time.monotonic()
    for ticket in range(-FAILURES, 0):
        profile = CallProfile(False, True, now + 60, attempt=2, kind="learned")
        serving.admission.offer(ticket, profile, now)
        serving.admission.finished(ticket, now + FAILURE_MS / 1000, FAILURE_MS, ticket % 4 == 0)
    context.before = report(context, 1)
    assert context.before.service_time_ms > 1000 and context.before.success_rate < 0.5


@then("node 1 reports a server of which nothing is known, by a later incarnation")
def nothing_known(context: Any) -> None:
    now = report(context, 1)
    assert now.incarnation > context.before.incarnation, (now, context.before)
    assert now.sequence > context.before.sequence, "others would ignore it as an old one"
    assert (now.service_time_ms, now.success_rate) == (0.0, 1.0), now
    assert now.uptime_s < context.before.uptime_s, now


@then("the booking is answered {status:d} within {seconds:d} s and was run once")
def booking_unknown(context: Any, status: int, seconds: int) -> None:
    (booking,) = context.bookings
    result = run(context, asyncio.wait_for(booking, seconds))
    assert result.status == status, result
    (first,) = context.fleet.fleet_nodes
    ran = [headers["x-attempt-id"] for headers in first.server.executed_headers]
    assert ran.count(result.attempt) <= 1, ran
    began = first.server.ledger.requests
    assert began.get(result.attempt, 0) == 1, began


@then("the server of node {number:d} is registered as born at {born:d}")
def is_born(context: Any, number: int, born: int) -> None:
    assert registered(context, number).start_time_ms == born


@then("the server of node {number:d} is registered with heartbeat {sequence:d}")
def with_heartbeat(context: Any, number: int, sequence: int) -> None:
    assert registered(context, number).sequence == sequence
