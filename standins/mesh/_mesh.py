"""Starts and stops the processes of a mesh."""

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any, Self

import aiohttp

from marjoramtide.settings import Envelope
from standins.free_port import free_port, loopback_host
from standins.mesh._mesh_node import MeshNode, make_mesh_node
from standins.mesh._plan import NodePlan
from standins.mesh._process import ManagedProcess, start_process

READY_TIMEOUT_S = 20.0
POLL_S = 0.05


def default_tree(services: Sequence[str]) -> str:
    """Return a settings tree with these services and no other settings."""
    return "".join(f"[services.{service}]\n" for service in services)


class Mesh:
    """Store, backend servers and nodes; leaving its context kills all of its processes."""

    def __init__(
        self, folder: Path, plans: Sequence[NodePlan], tree: str = "", host: str = ""
    ) -> None:
        self.folder = folder
        self.host = host or loopback_host()
        self.store_address = f"{self.host}:{free_port(self.host)}"
        services = list(dict.fromkeys(plan.service for plan in plans))
        self.tree = tree or default_tree(services)
        self.store: ManagedProcess | None = None
        self.supervisors: list[asyncio.Task[None]] = []
        self.nodes: list[MeshNode] = [
            self.make_node(f"{plan.service}-{number}", plan)
            for number, plan in enumerate(plans, start=1)
        ]

    def make_node(self, name: str, plan: NodePlan) -> MeshNode:
        """Return another node with its backend server, neither of them started."""
        return make_mesh_node(name, plan, self.host, f"http://{self.store_address}", self.folder)

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start every process and write the first revision of the settings."""
        await self.start_store()
        await self.write_tree()
        await asyncio.gather(*(node.start_server() for node in self.nodes))
        await asyncio.gather(*(node.start_node() for node in self.nodes))

    async def start_store(self) -> None:
        """Start the object store stand-in and wait until it responds."""
        arguments = ["standins.object_store", "--listen", self.store_address]
        self.store = await start_process("store", arguments, self.folder)
        await self.wait_for(self.is_store_responding)

    async def is_store_responding(self) -> bool:
        try:
            await self.store_json("GET", "/stats")
        except aiohttp.ClientError:
            return False
        return True

    async def store_json(self, method: str, path: str, body: Any = None) -> Any:
        """Call a control endpoint of the store stand-in, such as ``/stats`` or ``/faults``."""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, f"http://{self.store_address}{path}", json=body) as response,
        ):
            return await response.json(content_type=None)

    async def write_tree(self) -> None:
        """Write the first revision of the settings tree."""
        envelope = Envelope(
            revision=1,
            lineage="mesh",
            change="first",
            author="mesh",
            time=time.time(),
            parent="",
            recent=[],
            text=self.tree,
        )
        url = f"http://{self.store_address}/v1/objects/settings/tree"
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, data=envelope.encode(), headers={"If-None-Match": "*"}) as response,
        ):
            response.raise_for_status()

    def supervise_servers(self, delay_s: float) -> None:
        """Restart each backend server ``delay_s`` seconds after it exits, as its host does."""
        self.supervisors = [
            asyncio.create_task(self.restart_on_exit(node, delay_s)) for node in self.nodes
        ]

    async def restart_on_exit(self, node: MeshNode, delay_s: float) -> None:
        while node.server is not None:
            await node.server.process.wait()
            await asyncio.sleep(delay_s)
            await node.start_server()

    def kill_nodes_serving(self, prefix: str, delay_s: float, after_s: float = 0.0) -> None:
        """Kill each node whose server runs a request with an id that starts with ``prefix``.

        The node is killed ``after_s`` seconds after the execution shows in the journal, and started
        again ``delay_s`` seconds later.
        """
        self.supervisors += [
            asyncio.create_task(self.kill_on_request(node, prefix, delay_s, after_s))
            for node in self.nodes
        ]

    async def kill_on_request(
        self, node: MeshNode, prefix: str, delay_s: float, after_s: float
    ) -> None:
        seen_count = 0
        while node.process is not None:
            await asyncio.sleep(POLL_S)
            served_count = sum(request.startswith(prefix) for _, request, _ in node.journal())
            if served_count > seen_count:
                seen_count = served_count
                await asyncio.sleep(after_s)
                await node.process.kill()
                await asyncio.sleep(delay_s)
                await node.start_node()

    async def wait_until_ready(self, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until every running node serves requests of each service."""
        services = {node.plan.service for node in self.nodes}
        for node in self.nodes:
            if node.process is not None and node.process.running:
                for service in services:
                    await self.wait_for(partial(self.is_serving, node, service), timeout)

    async def is_serving(self, node: MeshNode, service: str) -> bool:
        """Tell whether a lookup of ``service`` succeeds through this node."""
        headers = {"Host": service, "X-Request-Id": "ready"}
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{node.callers}/", headers=headers) as response,
            ):
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_for(self, condition: Any, timeout: float = READY_TIMEOUT_S) -> None:
        """Poll until ``condition`` holds; raises ``TimeoutError`` with the processes' output."""
        try:
            async with asyncio.timeout(timeout):
                while not await condition():
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise TimeoutError(f"condition not met after {timeout} s\n{self.output()}") from error

    def executions(self) -> tuple[Counter[str], Counter[str]]:
        """Return executions by request id and by key over all backend servers, killed ones too."""
        counts = [node.executions() for node in self.nodes]
        by_request = sum((requests for requests, _ in counts), Counter[str]())
        return by_request, sum((keys for _, keys in counts), Counter[str]())

    def output(self) -> str:
        """Return the last lines of output of every process."""
        return "\n".join(
            f"== {path.name}\n" + "\n".join(path.read_text(errors="replace").splitlines()[-15:])
            for path in sorted(self.folder.glob("*.log"))
        )

    async def stop(self) -> None:
        """Cancel the supervisors and kill every process."""
        for task in self.supervisors:
            task.cancel()
        await asyncio.gather(*self.supervisors, return_exceptions=True)
        processes = [node.process for node in self.nodes]
        processes += [node.server for node in self.nodes] + [self.store]
        await asyncio.gather(*(process.kill() for process in processes if process is not None))
