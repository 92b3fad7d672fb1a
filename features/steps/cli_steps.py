"""Steps that run the command line as a process against a live operators' API."""

import asyncio
import json
import os
import random
import shlex
import subprocess
import sys
import tempfile
import threading
from pathlib import Path
from typing import Any

import attrs
from aiohttp import web
from behave import given, then, when

from features.settings_fakes import Fleet, Node, NodeStore
from marjoramtide.clock import SystemClock
from marjoramtide.evacuation import EvacuationService, make_evacuation_service
from marjoramtide.membership import MemberState
from marjoramtide.operators import NodeHandle, make_operators_app

COMMAND_TIMEOUT_S = 30
GOSSIP_INTERVAL_S = 0.05


class LiveFleet(Fleet):
    """A fleet on the real clock, in an event loop of its own thread, each node with its API."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = SystemClock()
        self.runners: list[web.AppRunner] = []
        self.held: dict[int, dict[str, Any]] = {}
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(COMMAND_TIMEOUT_S)

    async def open(self, names: list[str]) -> None:
        self.gossip_task = asyncio.create_task(self.gossip_forever())
        for name in names:
            self.start(self.add(name))
        await self.open_operators_apis()

    async def open_operators_apis(self) -> None:
        for node in self.nodes.values():
            runner = web.AppRunner(make_operators_app(self.make_handle(node)), access_log=None)
            await runner.setup()
            _, _, port = node.member.operators_address.partition(":")
            await web.TCPSite(runner, "127.0.0.1", int(port or 0), shutdown_timeout=0.1).start()
            address = f"127.0.0.1:{runner.addresses[0][1]}"
            node.member = attrs.evolve(node.member, operators_address=address)
            self.runners.append(runner)

    async def close_operators_apis(self) -> None:
        for runner in self.runners:
            await runner.cleanup()
        self.runners.clear()

    async def gossip_forever(self) -> None:
        while True:
            self.gossip()
            await asyncio.sleep(GOSSIP_INTERVAL_S)

    async def shut_down(self) -> None:
        self.gossip_task.cancel()
        await self.close_operators_apis()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def finish(self) -> None:
        self.call(self.shut_down())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def make_handle(self, node: Node) -> NodeHandle:
        def drain(drained: bool) -> None:
            state = MemberState.DRAINING if drained else MemberState.READY
            node.member = attrs.evolve(node.member, state=state)

        directory = node.service.change_coordinator.directory
        evacuations = self.evacuations(node)
        return NodeHandle(
            settings=node.service,
            directory=directory,
            status=lambda: {"in_progress": 0, "load": {"in_use": 2, "limit": 10}},
            explain=lambda service: {
                "members": [{"member": "a", "score": 1.0}],
                "decisions": [{"node": "a", "outcome": "overloaded"}],
            },
            trace=lambda trace_id: [{"trace_id": trace_id, "name": "ingress", "start": 1.0}],
            drain=drain,
            list_held_requests=lambda: list(self.held.values()),
            release_request=lambda fingerprint: self.held.pop(fingerprint),
            list_evacuations=evacuations.list_in_force,
            evacuate=evacuations.evacuate,
            release_evacuation=evacuations.release,
            list_workspaces=list,
        )

    def evacuations(self, node: Node) -> EvacuationService:
        """Return an evacuation service that publishes to no other node."""
        return make_evacuation_service(
            NodeStore(node),
            "evacuations/",
            node.service.change_coordinator.directory,
            lambda fields, readers: None,
            self.clock,
            random.Random(1),
            lambda: False,
            True,
            lambda names: None,
        )


def folder(context: Any) -> Path:
    """Return the temporary folder of the scenario, created on first use."""
    if "folder" not in context:
        context.folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    return context.folder


@given("a live settings fleet of nodes {names}")
def given_live(context: Any, names: str) -> None:
    context.live = LiveFleet()
    context.cleanup.callback(context.live.finish)
    context.live.call(context.live.open(names.split(", ")))


@given('"{what}" with the fingerprint {fingerprint} is held back for {seconds:g} s')
def given_held(context: Any, what: str, fingerprint: str, seconds: float) -> None:
    context.live.held[int(fingerprint, 16)] = {
        "fingerprint": fingerprint,
        "what": what,
        "ends": 2,
        "wait_s": seconds,
        "refused": 3,
    }


@given("the operators' file {name} holds")
def given_file(context: Any, name: str) -> None:
    (folder(context) / name).write_text(context.text + "\n")


@given('in {name} "{old}" is replaced by "{new}"')
def given_replaced(context: Any, name: str, old: str, new: str) -> None:
    file = folder(context) / name
    file.write_text(file.read_text().replace(old, new))


@given('the editor replaces "{old}" by "{new}"')
def given_editor(context: Any, old: str, new: str) -> None:
    context.editor = f"sed -i 's/{old}/{new}/'"


@given('the file {name} is what the command "{command}" prints with "{old}" replaced by "{new}"')
def given_printed(context: Any, name: str, command: str, old: str, new: str) -> None:
    printed = run(context, command).stdout
    (folder(context) / name).write_text(printed.replace(old, new))


@given("the live settings node {name} is cut off from all")
def given_partitioned(context: Any, name: str) -> None:
    node = context.live.nodes[name]
    node.is_store_cut_off, node.partition = True, 99


@given("the live settings store is down")
def given_live_down(context: Any) -> None:
    context.live.store.down = True


@given("the live store loses the answer to the next write and goes down")
def given_lost(context: Any) -> None:
    store = context.live.store
    context.written = asyncio.Event()

    async def lose_response() -> None:
        store.write_faults = ["applied"]
        store.down = True
        context.written.set()

    store.before_write = lose_response


@when("the operators' addresses close once the change is in doubt")
def when_close(context: Any) -> None:
    live = context.live

    async def close() -> None:
        await context.written.wait()
        await asyncio.sleep(GOSSIP_INTERVAL_S)
        await live.close_operators_apis()

    context.closing = asyncio.run_coroutine_threadsafe(close(), live.loop)


@when("the operators' addresses and the store are back")
def when_back(context: Any) -> None:
    context.closing.result(COMMAND_TIMEOUT_S)
    context.live.store.down = False
    context.live.call(context.live.open_operators_apis())


def run(context: Any, command: str) -> "subprocess.CompletedProcess[str]":
    address = context.live.nodes["a"].member.operators_address if "live" in context else ""
    editor = context.editor if "editor" in context else "false"
    return subprocess.run(
        [sys.executable, "-m", "marjoramtide.cli.main", *shlex.split(command)],
        cwd=folder(context),
        env={
            **os.environ,
            "MARJORAMTIDE_NODE": address,
            "EDITOR": editor,
            "TMPDIR": str(folder(context)),
        },
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


@given('the command "{command}" ends with {status:d}')
@when('the command "{command}" ends with {status:d}')
def command_ends(context: Any, command: str, status: int) -> None:
    result = run(context, command)
    assert result.returncode == status, (result.returncode, result.stdout, result.stderr)


@then('the command "{command}" ends with {status:d} and prints "{words}"')
def then_prints(context: Any, command: str, status: int, words: str) -> None:
    result = run(context, command)
    assert result.returncode == status, (result.returncode, result.stdout, result.stderr)
    assert words in result.stdout + result.stderr, (result.stdout, result.stderr)


@then('the command "{command}" says what to do next')
def then_next_step(context: Any, command: str) -> None:
    assert "\nnext: " in run(context, command).stderr


@then('the command "{command}" prints JSON with revision {revision:d}')
def then_json(context: Any, command: str, revision: int) -> None:
    assert json.loads(run(context, command).stdout)["revision"] == revision


@then('the command "{command}" prints JSON with error {code}')
def then_json_error(context: Any, command: str, code: str) -> None:
    error = json.loads(run(context, command).stdout)["error"]
    assert error["code"] == code and error["next"] and error["step"], error
