"""Steps with a mesh of real processes whose callers authenticate with keys."""

import asyncio
import os
import shlex
import subprocess
import sys
from typing import Any

import aiohttp
import attrs
from behave import step, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.mesh_steps import run
from standins.mesh import MeshNode

use_step_matcher("parse")

COMMAND_TIMEOUT_S = 30


@attrs.frozen(slots=True)
class KeyedResponse:
    """The status and the request outcome of a response to a caller."""

    status: int
    outcome: str


async def send_request(node: MeshNode, path: str, key: str) -> KeyedResponse:
    headers = {"Host": "mapdesk"} | ({"Authorization": f"Bearer {key}"} if key else {})
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{node.callers}{path}", headers=headers) as response,
    ):
        await response.read()
        return KeyedResponse(response.status, response.headers["Request-Outcome"])


@then("by each node GET {path} gets")
def then_gets(context: Any, path: str) -> None:
    for row in context.table:
        wanted = KeyedResponse(int(row["status"]), row["outcome"])
        for node in context.mesh.nodes:
            received = run(context, send_request(node, path, row["key"]))
            assert received == wanted, (node.name, row["key"], received)


@when('{count:d} requests with the key "{key}" come within {seconds:d} s by all nodes')
def when_come(context: Any, count: int, key: str, seconds: int) -> None:
    async def send_one(number: int) -> KeyedResponse:
        await asyncio.sleep(number * seconds / count)
        nodes = context.mesh.nodes
        return await send_request(nodes[number % len(nodes)], "/tiles/1", key)

    async def send_all() -> list[KeyedResponse]:
        return await asyncio.gather(*(send_one(number) for number in range(count)))

    context.responses = run(context, send_all())


@then("between {low:d} and {high:d} of them completed, and the others got 429 as not run")
def then_between(context: Any, low: int, high: int) -> None:
    good = [each for each in context.responses if each.status == 200]
    others = {(each.status, each.outcome) for each in context.responses if each.status != 200}
    assert low <= len(good) <= high, context.responses
    assert others == {(429, "not-run")}, others


def run_command(context: Any, line: str) -> str:
    """Run a command of the operators' command line against the first node; return its output."""
    done = subprocess.run(
        [sys.executable, "-m", "marjoramtide.cli.main", *shlex.split(line)],
        env={**os.environ, "MARJORAMTIDE_NODE": context.mesh.nodes[0].operators},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    assert done.returncode == 0, done
    return done.stdout + done.stderr


@step('the mesh\'s command "{line}" prints "{text}"')
def command_prints(context: Any, line: str, text: str) -> None:
    printed = run_command(context, line)
    assert text in printed, printed


@step('the mesh\'s command "{line}" doesn\'t print "{text}"')
def command_hides(context: Any, line: str, text: str) -> None:
    printed = run_command(context, line)
    assert text not in printed, printed


@when('the mesh\'s command "{line}" is given')
def command_given(context: Any, line: str) -> None:
    run_command(context, line)
