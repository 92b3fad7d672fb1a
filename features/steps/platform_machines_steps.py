"""Steps on suspended machines, clock jumps and connections whose peer is silent."""

import asyncio
import socket
import time
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.platform_node_steps import fleet_node, run

use_step_matcher("parse")

MAX_SILENCE_MS = 3000


def shift_clocks(context: Any, *, since_boot_s: float = 0.0, of_day_s: float = 0.0) -> None:
    """Shift the readings of the nodes' clock; the clock of the event loop is unchanged."""
    shifted = SimpleNamespace(
        CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
        clock_gettime=lambda which: time.clock_gettime(which) + since_boot_s,
        monotonic=time.monotonic,
        time=lambda: time.time() + of_day_s,
    )
    context.cleanup.enter_context(mock.patch("marjoramtide.clock._system.time", shifted))


@when("the machines are suspended for {seconds:g} s")
def suspended(context: Any, seconds: float) -> None:
    context.resumed_at = time.clock_gettime(time.CLOCK_BOOTTIME) + seconds
    shift_clocks(context, since_boot_s=seconds)


@when("the time of day jumps by {seconds:g} s")
def jumps(context: Any, seconds: float) -> None:
    shift_clocks(context, of_day_s=seconds)


@then("the first request through node {number:d} is refused with a retry hint")
def first_refused(context: Any, number: int) -> None:
    result = run(context, context.fleet.call(fleet_node(context, number)))
    assert result.status == 503, result
    assert float(result.headers["Retry-After"]) >= 0, result.headers


@then(
    "the first request through node {number:d} is answered {status:d}, "
    "after the node has checked that its settings are current"
)
def answered_after_check(context: Any, number: int, status: int) -> None:
    freshness = fleet_node(context, number).node.view.freshness
    assert (
        freshness.caught_up_at < context.resumed_at
    ), "the node checked its settings before the first request"
    result = run(context, context.fleet.call(fleet_node(context, number)))
    assert result.status == status, result
    assert freshness.caught_up_at >= context.resumed_at, (
        freshness.caught_up_at,
        context.resumed_at,
    )


@then("a request through node {number:d} is answered {status:d} within {seconds:g} s")
def answered_soon(context: Any, number: int, status: int, seconds: float) -> None:
    async def ask() -> None:
        async with asyncio.timeout(seconds):
            while (await context.fleet.call(fleet_node(context, number))).status != status:
                await asyncio.sleep(0.05)

    run(context, ask())


@then("for {seconds:g} s requests through node {number:d} are answered {status:d}")
def answered_on(context: Any, seconds: float, number: int, status: int) -> None:
    async def ask() -> None:
        ends_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            result = await context.fleet.call(fleet_node(context, number))
            assert result.status == status, result
            await asyncio.sleep(0.02)

    run(context, ask())


@then("node {number:d} still knows {count:d} members")
def knows(context: Any, number: int, count: int) -> None:
    members = fleet_node(context, number).node.membership.members()
    assert len(members) == count, members


def detects_silence(transport: asyncio.BaseTransport) -> bool:
    connection = transport.get_extra_info("socket")
    keepalive = connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    unacknowledged_ms = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    return bool(keepalive) and 0 < unacknowledged_ms <= MAX_SILENCE_MS


@then("node {number:d} detects silent peers on its connections to the other node")
def detects_silent_nodes(context: Any, number: int) -> None:
    links = list(fleet_node(context, number).node.peer_client.links.values())
    assert links and all(detects_silence(link.socket.transport) for link in links), links


@then("node {number:d} detects silent peers on its connections to its backend server")
def detects_silent_backend(context: Any, number: int) -> None:
    connections = list(fleet_node(context, number).node.transport.connections)
    assert connections and all(detects_silence(each.transport) for each in connections), connections
