"""Steps on a route that moves to another service while a request body is being read."""

import asyncio
from typing import Any

from behave import step, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import HOST_NAME, route
from features.steps.platform_node_steps import fleet_node, run

use_step_matcher("parse")

HALF_BODY = b"h" * 2000


@when('a client has sent half of a body to "{path}" by node {number:d}')
def send_half_body(context: Any, path: str, number: int) -> None:
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: 0000000000000001\r\n"
        f"X-Deadline-Ms: 1500\r\nContent-Length: {2 * len(HALF_BODY)}\r\n\r\n"
    )

    async def send() -> None:
        host, _, port = fleet_node(context, number).callers.rpartition(":")
        context.reader, context.writer = await asyncio.open_connection(host, int(port))
        context.writer.write(head.encode() + HALF_BODY)
        await asyncio.sleep(0.1)

    run(context, send())


@step('a version moves "{prefix}" to {service}, and it is in force')
def version_moves(context: Any, prefix: str, service: str) -> None:
    fleet = context.fleet
    fleet.configure(7, [route(prefix, {service: 1})])
    run(
        context,
        fleet.wait_for(lambda: all(each.node.view.revision == 7 for each in fleet.fleet_nodes)),
    )


@step("the client sends the rest")
def client_sends_rest(context: Any) -> None:
    async def send() -> None:
        context.writer.write(HALF_BODY)
        assert (await context.reader.readline()).split()[1] == b"200"
        context.writer.close()

    run(context, send())


@then('{count:d} more requests to "{path}" by node {number:d} run on {service} alone')
def then_run_on(context: Any, count: int, path: str, number: int, service: str) -> None:
    for _ in range(count):
        result = run(context, context.fleet.call(fleet_node(context, number), path))
        assert result.status == 200, result
    for each in context.fleet.fleet_nodes:
        ran = each.server.targets.count(path)
        assert ran == (count if each.settings.service == service else 0), (each.settings, ran)
