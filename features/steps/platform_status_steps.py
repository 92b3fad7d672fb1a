"""Steps for the status that a node shows, and for reloading of its settings."""

import asyncio
import contextlib
import signal
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

import aiohttp
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.platform_node_steps import fleet_node, run
from marjoramtide.daemon import _process
from marjoramtide.interface import Interface, default_interface
from marjoramtide.settings import NodeSettings, load_node_settings
from standins.free_port import free_port, loopback_host

use_step_matcher("parse")

SETTINGS = """
service = "s"
region = "r"
data_centre = "d"
callers = "{0}"
peers = "{1}"
gossip = "{1}"
operators = "{2}"
backend = "{3}"
store = "http://{3}"
key = "a key for tests on loopback only"
log_level = "{4}"
"""


@when("the server of node {number:d} is slowed to {times:d} times")
def slowed(context: Any, number: int, times: int) -> None:
    serving = fleet_node(context, number).node.serving
    fleet_node(context, number).server.slowdown = float(times)
    run(
        context,
        context.fleet.wait_for(lambda: serving.interference.slowdown == times),
    )


@then("the operators of node {number:d} are shown a slowdown of {times:d}")
def shown_slowdown(context: Any, number: int, times: int) -> None:
    async def read() -> Any:
        url = f"http://{fleet_node(context, number).settings.operators}/status"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return await response.json()

    shown = run(context, read())
    assert shown["load"]["slowdown"] == times, shown


@when("{count:d} more heartbeats of the server of node {number:d} arrive")
def more_heartbeats(context: Any, count: int, number: int) -> None:
    async def beat() -> None:
        for _ in range(count):
            assert await fleet_node(context, number).registrant.heartbeat("i-1") == 200

    serving = fleet_node(context, number).node.serving
    with mock.patch.object(serving, "open", wraps=serving.open) as opened:
        run(context, beat())
        context.opened = opened.call_count


@then("the settings of node {number:d} were put into force no further time")
def no_reopening(context: Any, number: int) -> None:
    assert context.opened == 0, context.opened


@given("a node's watch of its settings file whose first reload fails unexpectedly")
def given_watched_file(context: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    host = loopback_host()
    context.addresses = [f"{host}:{free_port(host)}" for _ in range(4)]
    folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.file = Path(folder) / "node.toml"
    context.file.write_text(SETTINGS.format(*context.addresses, "info"))
    context.levels = []

    def make(settings: NodeSettings) -> Interface:
        context.levels.append(settings.log_level)
        if len(context.levels) == 2:
            raise RuntimeError("an injected failure")
        return default_interface()

    context.cleanup.enter_context(mock.patch.object(_process, "make_interface", make))


@when("the settings file changes twice")
def changes_twice(context: Any) -> None:
    async def change() -> None:
        settings = load_node_settings(str(context.file))
        node = asyncio.create_task(_process.run(settings, str(context.file)))
        try:
            for number, level in enumerate(("warning", "error"), start=2):
                await asyncio.sleep(1.5)
                context.file.write_text(SETTINGS.format(*context.addresses, level))
                signal.raise_signal(signal.SIGHUP)
                async with asyncio.timeout(5):
                    while len(context.levels) < number:
                        await asyncio.sleep(0.02)
        finally:
            signal.raise_signal(signal.SIGTERM)
            await node

    # The following step asserts which changes were applied.
    with contextlib.suppress(TimeoutError):
        context.runner.run(change())


@then("the second change is taken up")
def second_applied(context: Any) -> None:
    assert context.levels == ["info", "warning", "error"], context.levels
