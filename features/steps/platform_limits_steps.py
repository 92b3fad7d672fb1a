"""Steps on the operator's limits for the connections and requests of callers."""

import asyncio
from typing import Any

from behave import step, then, use_step_matcher  # type: ignore[attr-defined]

from features.platform_harness import HOST_NAME, FleetNode
from features.steps.platform_node_steps import all_at, fleet_node, run
from standins.raw_caller import send_raw

use_step_matcher("parse")

REQUEST = f"GET /tiles/7 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {{}}\r\n\r\n"
READ_BYTES = 65536


@step(
    "the operator allows heads of {head_bytes:d} bytes, {head_ms:d} ms for a head "
    "and {idle_ms:d} ms of rest as version {version:d}"
)
def set_limits(context: Any, head_bytes: int, head_ms: int, idle_ms: int, version: int) -> None:
    context.fleet.limits |= {
        "MaxHeaderBytes": head_bytes,
        "HeaderTimeoutMs": head_ms,
        "IdleTimeoutMs": idle_ms,
    }
    context.fleet.configure(version)
    run(context, context.fleet.wait_for(lambda: all_at(context, version)))


@then("a request with a header of {size:d} bytes through node {number:d} gets {status:d}")
def long_header(context: Any, size: int, number: int, status: int) -> None:
    work = context.fleet.call(fleet_node(context, number), headers={"X-Long": "a" * size})
    assert run(context, work).status == status


async def closed_within(entry: FleetNode, data: bytes, seconds: float) -> bool:
    response = await send_raw(entry.callers, data, silence_s=seconds)
    return response.closed


@then("a head that never ends is given up by node {number:d} within {seconds:g} s")
def unfinished_head_closed(context: Any, number: int, seconds: float) -> None:
    partial_head = b"GET /tiles/7 HTTP/1.1\r\nHost: "
    assert run(context, closed_within(fleet_node(context, number), partial_head, seconds))


@then("a connection that rests is closed by node {number:d} within {seconds:g} s")
def idle_connection_closed(context: Any, number: int, seconds: float) -> None:
    request = REQUEST.format("0a").encode()
    assert run(context, closed_within(fleet_node(context, number), request, seconds))


async def send_request(context: Any, attempt: str) -> bytes:
    reader, writer = context.kept_connection
    writer.write(REQUEST.format(attempt).encode())
    async with asyncio.timeout(2):
        return await reader.read(READ_BYTES)


@step("a client keeps a connection to node {number:d} open")
def keeps_open(context: Any, number: int) -> None:
    host, _, port = fleet_node(context, number).callers.rpartition(":")
    context.kept_connection = run(context, asyncio.open_connection(host, int(port)))
    assert run(context, send_request(context, "0b")).startswith(b"HTTP/1.1 200")


@then("that connection answers another request")
def answers_again(context: Any) -> None:
    assert run(context, send_request(context, "0c")).startswith(b"HTTP/1.1 200")
    context.kept_connection[1].close()
