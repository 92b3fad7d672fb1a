"""Steps with a backend server of the platform whose response body does not end."""

import asyncio
import time
from typing import Any

import aiohttp
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.platform_node_steps import fleet_node, run

use_step_matcher("parse")

LOOKUP_INTERVAL_S = 0.1
CLOSE_S = 0.2


@given("every server answers the next booking with a body without end")
def given_endless_body(context: Any) -> None:
    for each in context.fleet.fleet_nodes:
        each.server.endless_responses = 1


@when(
    "a client books through node {number:d} with {left:d} ms left, "
    'and asks for "{path}" meanwhile'
)
def book_and_look_up(context: Any, number: int, left: int, path: str) -> None:
    node = fleet_node(context, number)

    async def book() -> None:
        headers = {"X-Deadline-Ms": str(left)}
        try:
            await context.fleet.call(node, "/book/7", method="POST", headers=headers, body=b"b")
        except aiohttp.ClientPayloadError:
            context.cut_after_s = time.monotonic() - began_at

    async def look_up() -> None:
        while True:
            await asyncio.sleep(LOOKUP_INTERVAL_S)
            sent_at = time.monotonic()
            result = await context.fleet.call(node, path)
            context.lookups.append((result.status, time.monotonic() - sent_at))

    async def work() -> None:
        lookups = asyncio.create_task(look_up())
        await book()
        lookups.cancel()
        await asyncio.sleep(CLOSE_S)

    context.lookups = []
    context.cut_after_s = None
    began_at = time.monotonic()
    run(context, work())


@then("its booking was cut off between {least:g} and {most:g} s later")
def booking_cut(context: Any, least: float, most: float) -> None:
    assert context.cut_after_s is not None, "its answer looked whole"
    assert least <= context.cut_after_s <= most, context.cut_after_s


@then("each lookup got its answer within {seconds:g} s")
def lookups_answered(context: Any, seconds: float) -> None:
    assert len(context.lookups) > 1, context.lookups
    assert all(
        status == 200 and took < seconds for status, took in context.lookups
    ), context.lookups


@then("no connection to a server is kept busy")
def no_connection_busy(context: Any) -> None:
    busy = [
        connection
        for each in context.fleet.fleet_nodes
        for connection in each.server.connections
        if connection.task is not None and not connection.task.done()
    ]
    assert not busy, busy
