"""A fleet of node processes, with queries over all nodes."""

import asyncio
import ipaddress
import itertools
import statistics
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import aiohttp

from bench.fleet._memory import Memory, read_memory
from bench.fleet._store_calls import StoreCalls
from bench.hop import read_use
from marjoramtide.settings import parse_address
from standins.mesh import Mesh, MeshNode, NodePlan

REGION_OF = {
    "nadi-hall": "viti-west",
    "lautoka-hall": "viti-west",
    "sigatoka-hall": "viti-west",
    "navrangpura": "ahmedabad",
    "gift-city": "ahmedabad",
}
SERVICES = ("mapdesk", "licencehub", "case-desk", "tile-cache", "rate-board")
NODES_PER_SERVER = 20
POLL_S = 0.05
TCP_ESTABLISHED = "01"
TIMEOUT_S = 40.0


def make_plans(size: int) -> list[NodePlan]:
    """Return plans of nodes, spread evenly over data centres and services."""
    places = itertools.cycle(itertools.product(SERVICES, REGION_OF))
    return [NodePlan(service, place) for service, place in itertools.islice(places, size)]


class Fleet(Mesh):
    """A mesh whose nodes share a few stand-in backend servers, which only answer health checks."""

    def __init__(self, folder: Path, size: int) -> None:
        super().__init__(folder, make_plans(size))
        for number, node in enumerate(self.nodes):
            node.extra["region"] = REGION_OF[node.plan.data_centre]
            node.backend = self.nodes[number - number % NODES_PER_SERVER].backend

    async def start(self) -> None:
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.calls = StoreCalls(self.http, self.store_address)
        await self.start_store()
        await self.write_tree()
        await asyncio.gather(*(node.start_server() for node in self.nodes[::NODES_PER_SERVER]))
        await self.start_nodes(self.nodes)

    async def stop(self) -> None:
        await super().stop()
        await self.http.close()

    async def start_nodes(self, nodes: Iterable[MeshNode]) -> None:
        await asyncio.gather(*(node.start_node() for node in nodes))

    async def kill_nodes(self, nodes: Iterable[MeshNode]) -> None:
        """Kill nodes; their backend servers stay up, since other nodes share them."""
        await asyncio.gather(*(node.process.kill() for node in nodes if node.process is not None))

    # Queries

    async def get_json(self, node: MeshNode, path: str) -> dict[str, Any]:
        async with self.http.get(f"http://{node.operators}/{path}") as response:
            answer: dict[str, Any] = await response.json()
        return answer

    async def gossip_totals(self, nodes: Sequence[MeshNode]) -> dict[str, float]:
        """Return the sums of the nodes' gossip counters."""
        answers = await asyncio.gather(*(self.get_json(node, "status") for node in nodes))
        return {
            name: sum(answer["gossip"][name] for answer in answers)
            for name in ("sent", "sent_bytes", "refutations")
        }

    async def member_states(self, node: MeshNode) -> dict[str, str]:
        """Return the states of all members that a node knows, by their operators' address."""
        members = (await self.get_json(node, "members"))["members"]
        return {member["operators_address"]: member["state"] for member in members}

    async def wait_until(
        self, condition: Callable[[MeshNode], Awaitable[bool]], nodes: Sequence[MeshNode]
    ) -> float:
        """Poll until ``condition`` holds for all nodes; return the time of the last one."""

        async def poll(node: MeshNode) -> float:
            while True:
                try:
                    if await condition(node):
                        return time.monotonic()
                except (aiohttp.ClientError, OSError):
                    pass  # not started yet
                await asyncio.sleep(POLL_S)

        try:
            async with asyncio.timeout(TIMEOUT_S):
                return max(await asyncio.gather(*map(poll, nodes)))
        except TimeoutError as error:
            raise TimeoutError(f"condition not met after {TIMEOUT_S} s\n{self.output()}") from error

    async def wait_for_state(self, nodes: Sequence[MeshNode], state: str) -> float:
        """Wait until all running nodes know ``nodes`` in ``state`` and return the time.

        An empty ``state`` waits until the nodes are no longer known as members.
        """
        addresses = {node.operators for node in nodes}

        async def known(node: MeshNode) -> bool:
            member_states = await self.member_states(node)
            return all(member_states.get(address, "") == state for address in addresses)

        others = [node for node in self.nodes if node.process and node.process.running]
        return await self.wait_until(known, others)

    # Costs

    def cpu_s(self, nodes: Iterable[MeshNode]) -> float:
        """Return the CPU time that these nodes have used."""
        return sum(read_use(pid).cpu_s for pid in pids(nodes))

    def memory(self) -> Memory:
        """Return the mean memory of the nodes."""
        found = [read_memory(pid) for pid in pids(self.nodes)]
        return Memory(
            *(
                statistics.fmean(getattr(each, name) for each in found)
                for name in ("rss_mb", "pss_mb", "uss_mb")
            )
        )

    def peer_links(self) -> float:
        """Return the mean number of peer connections that a node has accepted."""
        ports = {parse_address(node.peers)[1] for node in self.nodes}
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        packed = ipaddress.ip_address(self.host).packed[::-1].hex().upper()
        endpoints = [row[1].split(":") for row in rows if row[3] == TCP_ESTABLISHED]
        accepted = [port for host, port in endpoints if host == packed and int(port, 16) in ports]
        return len(accepted) / len(self.nodes)


def pids(nodes: Iterable[MeshNode]) -> list[int]:
    return [node.process.process.pid for node in nodes if node.process is not None]
