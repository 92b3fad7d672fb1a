"""Steps with clients inside the limits, at real nodes with a tenth of a machine's limits."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import xxhash
from behave import then, use_step_matcher, when  # type: ignore[attr-defined]

from features.client_fleet import IDLE_TIMEOUT_S, ClientFleet
from features.steps.client_crowd_steps import run

use_step_matcher("parse")

LINE_BYTES = 4000
IDLE_SHARE = 0.8


def request_headers(fleet: ClientFleet, service: str) -> dict[str, str]:
    target = fleet.target(service)
    lines = (line.split(": ", 1) for line in target.headers.splitlines())
    return {"Host": target.host} | dict(lines)


@when("a client sends a body of {size:d} bytes in chunks of {chunk:d} bytes for {service}")
def when_body_sent(context: Any, size: int, chunk: int, service: str) -> None:
    fleet = context.fleet
    body = b"0123456789abcdef" * (size // 16 + 1)
    context.body = body = body[:size]

    async def chunks() -> AsyncIterator[bytes]:
        for start in range(0, size, chunk):
            yield body[start : start + chunk]

    async def work() -> None:
        url = f"http://{fleet.nodes[0].addresses['callers']}{fleet.target(service).path}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                url, data=chunks(), headers=request_headers(fleet, service), chunked=True
            ) as response,
        ):
            context.status = response.status
            context.answer = await response.read()
            context.digest = response.headers.get("X-Body-Digest", "")

    run(context, work())


@then("its request succeeds, with the whole body")
def then_body_whole(context: Any) -> None:
    assert context.status == 200, (context.status, context.answer)
    assert context.digest == xxhash.xxh64(context.body).hexdigest(), context.digest


@when(
    "a client sends two requests with heads of {size:d} bytes, "
    "four fifths of the idle timeout apart"
)
def when_two_requests(context: Any, size: int) -> None:
    fleet = context.fleet
    lines = {f"X-Field-{number}": "a" * LINE_BYTES for number in range(size // LINE_BYTES)}
    lines["X-Field-0"] = "a" * (LINE_BYTES - 400)
    headers = request_headers(fleet, "mapdesk") | lines

    async def work() -> None:
        connector = aiohttp.TCPConnector(keepalive_timeout=2 * IDLE_TIMEOUT_S)
        url = f"http://{fleet.nodes[0].addresses['callers']}{fleet.target('mapdesk').path}"
        context.statuses, opened = [], []
        trace = aiohttp.TraceConfig()

        async def on_created(*_: Any) -> None:
            opened.append(1)

        trace.on_connection_create_end.append(on_created)
        async with aiohttp.ClientSession(connector=connector, trace_configs=[trace]) as session:
            for pause_s in (IDLE_SHARE * IDLE_TIMEOUT_S, 0.0):
                async with session.get(url, headers=headers) as response:
                    await response.read()
                    context.statuses.append(response.status)
                await asyncio.sleep(pause_s)
        context.opened = len(opened)

    run(context, work())


@then("both requests succeed")
def then_both_succeed(context: Any) -> None:
    assert context.statuses == [200, 200], context.statuses
    assert context.opened == 1, f"{context.opened} connections: the first was not kept"
