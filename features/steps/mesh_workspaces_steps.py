"""Steps with a mesh of real processes whose callers have keys."""

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
class KeyedAnswer:
    """What a caller got: the status, and what it was told of the outcome."""

    status: int
    outcome: str


async def ask(node: MeshNode, path: str, key: str) -> KeyedAnswer:
    headers = {"Host": "mapdesk"} | ({"Authorization": f"Bearer {key}"} if key else {})
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{node.callers}{path}", headers=headers) as response,
    ):
        await response.read()
        return KeyedAnswer(response.status, response.headers["Request-Outcome"])


@then("by each node GET {path} gets")
def then_gets(context: Any, path: str) -> None:
    for row in context.table:
        wanted = KeyedAnswer(int(row["status"]), row["outcome"])
        for node in context.mesh.nodes:
            answer = run(context, ask(node, path, row["key"]))
            assert answer == wanted, (node.name, row["key"], answer)


@when('{count:d} requests with the key "{key}" come within {seconds:d} s by all nodes')
def when_come(context: Any, count: int, key: str, seconds: int) -> None:
    async def one(number: int) -> KeyedAnswer:
        await asyncio.sleep(number * seconds / count)
        nodes = context.mesh.nodes
        return await ask(nodes[number % len(nodes)], "/tiles/1", key)

    async def play() -> list[KeyedAnswer]:
        return await asyncio.gather(*(one(number) for number in range(count)))

    context.answers = run(context, play())


@then("between {low:d} and {high:d} of them completed, and the others got 429 as not run")
def then_between(context: Any, low: int, high: int) -> None:
    good = [each for each in context.answers if each.status == 200]
    others = {(each.status, each.outcome) for each in context.answers if each.status != 200}
    assert low <= len(good) <= high, context.answers
    assert others == {(429, "not-run")}, others


def command(context: Any, line: str) -> str:
    """Run the operators' command line against the first node; return what it printed."""
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
    printed = command(context, line)
    assert text in printed, printed


@step('the mesh\'s command "{line}" doesn\'t print "{text}"')
def command_hides(context: Any, line: str, text: str) -> None:
    printed = command(context, line)
    assert text not in printed, printed


@when('the mesh\'s command "{line}" is given')
def command_given(context: Any, line: str) -> None:
    command(context, line)
