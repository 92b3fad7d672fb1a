"""Steps for settings over a mesh of real processes."""

import asyncio
import subprocess
import sys
from http import HTTPStatus
from typing import Any

import aiohttp
from behave import then, when  # type: ignore[attr-defined]

from standins.mesh import MeshNode

IN_FORCE_S = 9
COMMAND_TIMEOUT_S = 60
POLL_S = 0.1
DEEP_CALLS = 100
DEEP_CALL_PAUSE_S = 0.02


def named(context: Any, name: str) -> MeshNode:
    return next(node for node in context.mesh.nodes if node.name == name)


def command(context: Any, words: str) -> "subprocess.CompletedProcess[str]":
    arguments = [*words.split(), "--node", context.mesh.nodes[0].operators]
    return subprocess.run(
        [sys.executable, "-m", "marjoramtide.cli.main", *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


async def revision_of(node: MeshNode) -> int:
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{node.operators}/status") as response,
        ):
            settings = (await response.json())["settings"]
            return settings["revision"] if settings["current"] else 0
    except aiohttp.ClientError:
        return 0


async def all_at(nodes: list[MeshNode], revision: int) -> None:
    async with asyncio.timeout(IN_FORCE_S):
        while set(await asyncio.gather(*map(revision_of, nodes))) != {revision}:
            await asyncio.sleep(POLL_S)


async def call(node: MeshNode, depth: int = 0) -> int:
    headers = {"Host": "mapdesk", "Marjoramtide-Depth": str(depth)}
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{node.callers}/", headers=headers) as response,
    ):
        return response.status


@when('the mesh command "{words}" ends with {status:d}')
def mesh_command(context: Any, words: str, status: int) -> None:
    done = command(context, words)
    assert done.returncode == status, (done.returncode, done.stdout, done.stderr)


@when('the mesh command "{words}" ends with {status:d} within {tries:d} tries')
def mesh_command_tries(context: Any, words: str, status: int, tries: int) -> None:
    found = (command(context, words).returncode for _ in range(tries))
    assert any(code == status for code in found)


@when("the store applies its delayed writes")
def apply_late(context: Any) -> None:
    context.runner.run(context.mesh.store_json("POST", "/faults/apply-late"))


@then("all mesh nodes have revision {revision:d}")
def then_revision(context: Any, revision: int) -> None:
    context.runner.run(all_at(context.mesh.nodes, revision))


@when("{name:S} is killed and restarted")
def when_replaced(context: Any, name: str) -> None:
    node = named(context, name)
    context.runner.run(node.process.kill())
    context.runner.run(node.start_node())


@then("{name:S} comes to revision {revision:d} and serves callers")
def then_serves(context: Any, name: str, revision: int) -> None:
    node = named(context, name)
    context.runner.run(all_at([node], revision))
    context.runner.run(context.mesh.wait_for(lambda: context.mesh.is_serving(node, "mapdesk")))


@when("{name:S} is frozen for a change of max_depth to 1")
def when_frozen(context: Any, name: str) -> None:
    """Change the settings with ``--insist``; they may not be in force when the command ends."""
    node = named(context, name)
    node.process.freeze()
    try:
        done = command(context, "settings set /services/mapdesk max_depth 1 --insist --wait_s 1")
        assert done.returncode in (0, 4), (done.returncode, done.stdout, done.stderr)
    finally:
        node.process.thaw()


@then("{name:S} serves no call that is 2 deep after it resumes")
def then_none_deep(context: Any, name: str) -> None:
    node = named(context, name)

    async def deep_calls() -> list[int]:
        found = []
        for _ in range(DEEP_CALLS):
            found.append(await call(node, depth=1))
            await asyncio.sleep(DEEP_CALL_PAUSE_S)
        return found

    statuses = context.runner.run(deep_calls())
    assert HTTPStatus.OK not in statuses, statuses
    context.runner.run(context.mesh.wait_for(lambda: context.mesh.is_serving(node, "mapdesk")))
