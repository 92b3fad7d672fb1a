"""Steps on reports of requests in flight, over real connections, without processes."""

import asyncio
import random
import socket
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.peer_nodes import (
    KEY,
    PeerNode,
    listen_silently,
    meet,
    open_peer_node,
    stop_slowly,
    until,
)
from features.steps.platform_node_steps import fleet_node
from features.steps.platform_node_steps import run as run_fleet
from marjoramtide.clock import SystemClock
from marjoramtide.membership import MemberState
from marjoramtide.peers import PeerClient
from marjoramtide.telemetry import Metrics
from marjoramtide.witness import CrashWitness, WitnessReporter

use_step_matcher("parse")

# An upper bound for a coroutine that does not wait, also on a busy machine.
MAX_STEP_S = 0.5
# Longer than the probes of a node that does not respond.
PROBED_S = 0.8
SMALL_BUFFER_BYTES = 4096


async def start_reporter(context: Any) -> None:
    """Start the reporter, and wait until it has a witness if there are other nodes."""
    own = context.peer_nodes[0]
    client = PeerClient(KEY, SystemClock())
    context.reporter = WitnessReporter(
        own.directory, client, lambda fingerprint: False, SystemClock(), random.Random(1), Metrics()
    )
    context.reporting = asyncio.create_task(context.reporter.run())
    if len(context.peer_nodes) > 1:
        await until(lambda: context.reporter.link is not None)
    context.closing.insert(0, client.close)


def start(context: Any, *data_centres: str) -> None:
    """Start the reporting node's peer port, and one in each of the data centres."""
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.peer_nodes, context.closing = [], []

    async def work() -> None:
        await open_peer_node(context, "reporter")
        for number, data_centre in enumerate(data_centres, start=1):
            await open_peer_node(context, f"other-{number}", data_centre)
        meet(context)
        for peer_node in context.peer_nodes:
            peer_node.server.in_flight_listener = CrashWitness(
                peer_node.directory, peer_node.crash_detector
            )
        await start_reporter(context)

    async def close() -> None:
        context.reporting.cancel()
        await asyncio.gather(context.reporting, return_exceptions=True)
        for end in context.closing:
            await end()

    context.runner.run(work())
    context.cleanup.callback(lambda: context.runner.run(close()))


@given("a node with a witness")
def given_reporter(context: Any) -> None:
    start(context, "nadi-hall")


@given("a node with a witness and another candidate")
def given_two(context: Any) -> None:
    start(context, "nadi-hall", "nadi-hall")


@given("a node with candidates for a witness in several data centres")
def given_elsewhere(context: Any) -> None:
    start(context, *["lautoka-hall"] * 5, "nadi-hall", *["sigatoka-hall"] * 5)


@given("a node that knows no other nodes")
def given_alone(context: Any) -> None:
    start(context)


@given("a node whose witness has stopped reading")
def given_stuck(context: Any) -> None:
    given_reporter(context)

    async def work() -> None:
        await until(lambda: context.peer_nodes[1].sessions)
        for session in context.peer_nodes[1].sessions:
            session.transport.pause_reading()
        own_end = context.reporter.link.socket.transport.get_extra_info("socket")
        own_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)

    context.runner.run(work())


def witness(context: Any) -> PeerNode:
    """Return the node that the reporter has chosen as its witness."""
    return next(
        peer_node
        for peer_node in context.peer_nodes
        if peer_node.member.node == context.reporter.last_witness
    )


async def start_runs(context: Any) -> None:
    for name in "abc":
        await context.reporter.request_started(ord(name), ord(name))
    context.reporter.request_finished(ord("c"))
    # Finished requests are reported with a short delay.
    await asyncio.sleep(0.2)


@when("it starts a, b and c, finishes c, and {what}")
def starts_and(context: Any, what: str) -> None:
    async def work() -> None:
        await start_runs(context)
        own, other = context.peer_nodes[0], witness(context)
        link = context.reporter.link.socket
        match what:
            case "its process ends":
                own.kill()
                link.transport.abort()
            case "its process ends, and takes connections for 0.2 s":
                stop_slowly(own, 0.2)
                link.transport.abort()
            case "its connection is closed as agreed":
                own.kill()
                context.reporting.cancel()
            case "its connection is reset":
                link.transport.abort()
            case "nobody answers or refuses at its address":
                silent = listen_silently(context)
                other.directory.known["reporter"] = attrs.evolve(own.member, peer_address=silent)
                link.transport.abort()
            case "it is known to leave, and its process ends":
                leaving = attrs.evolve(own.member, state=MemberState.LEAVING)
                other.directory.known["reporter"] = leaving
                own.kill()
                link.transport.abort()
            case "its witness ends":
                context.ended = other
                other.kill()
        await asyncio.sleep(PROBED_S)

    context.runner.run(work())


@then("the witness reports {names} as lost")
def reports_lost(context: Any, names: str) -> None:
    found = sorted(map(chr, witness(context).blamed))
    assert found == ([] if names == "none" else names.split(", ")), found


@then("the other node gets the report of a and b within {seconds:g} s")
def other_gets(context: Any, seconds: float) -> None:
    (other,) = (peer_node for peer_node in context.peer_nodes[1:] if peer_node is not context.ended)

    async def work() -> None:
        await until(lambda: context.reporter.link is not None)
        context.peer_nodes[0].kill()
        context.reporter.link.socket.transport.abort()
        await until(lambda: sorted(map(chr, other.blamed)) == ["a", "b"])

    context.runner.run(work())


@then("the witness is in its data centre")
def in_data_centre(context: Any) -> None:
    chosen = witness(context).member.data_centre
    assert chosen == context.peer_nodes[0].member.data_centre, chosen


@when("it starts a")
def starts_one(context: Any) -> None:
    starts_many(context, 1)


@when("it starts {count:d} requests")
def starts_many(context: Any, count: int) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        context.took_s = []
        for number in range(count):
            started_at = loop.time()
            await context.reporter.request_started(number, number << 40)
            context.took_s.append(loop.time() - started_at)

    context.runner.run(work())


@when("it stops as planned")
def stops(context: Any) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        context.reporting.cancel()
        await asyncio.gather(context.reporting, return_exceptions=True)
        context.took_s = [loop.time() - started_at]

    context.runner.run(work())


@then("that took less than {seconds:g} s")
def took_less(context: Any, seconds: float) -> None:
    assert max(context.took_s) < seconds, context.took_s


@then("that took no time")
@then("none of them waited")
def took_no_time(context: Any) -> None:
    assert max(context.took_s) < MAX_STEP_S, max(context.took_s)


@given("all requests are served by node {number:d}")
def served_by(context: Any, number: int) -> None:
    async def drain() -> None:
        for other, each in enumerate(context.fleet.fleet_nodes, start=1):
            each.node.drain(other != number)
        await context.fleet.wait_for(
            lambda: all(
                len(each.node.membership.members_of(each.settings.service)) == 1
                for each in context.fleet.fleet_nodes
            )
        )
        reporter = fleet_node(context, number).node.witness_reporter
        await context.fleet.wait_for(lambda: reporter.link is not None)

    run_fleet(context, drain())


@then("node {number:d} has reported {count:d} request to its witness")
def has_reported(context: Any, number: int, count: int) -> None:
    counts = fleet_node(context, number).node.metrics.counts
    assert counts["witness.told"] == count, counts


@then("no request is in flight at the witness of node {number:d}")
def none_in_flight(context: Any, number: int) -> None:
    assert not fleet_node(context, number).node.witness_reporter.in_flight
