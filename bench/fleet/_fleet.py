"""A fleet of node processes, and what may be asked of all of them."""

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
from bench.hop import read_process_usage
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
ESTABLISHED = "01"
LIMIT_S = 40.0


def make_plans(size: int) -> list[NodePlan]:
    """Return nodes spread over the data centres, and in each over the services."""
    places = itertools.cycle(itertools.product(SERVICES, REGION_OF))
    return [NodePlan(service, place) for service, place in itertools.islice(places, size)]


class Fleet(Mesh):
    """A mesh whose nodes share a few backend server stand-ins, which only answer health reads."""

    def __init__(self, folder: Path, size: int) -> None:
        super().__init__(folder, make_plans(size))
        for number, node in enumerate(self.nodes):
            node.extra_settings["region"] = REGION_OF[node.plan.data_centre]
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
        """End nodes at once; the backend servers stay, since others share them."""
        await asyncio.gather(*(node.process.kill() for node in nodes if node.process is not None))

    # What nodes tell

    async def ask(self, node: MeshNode, path: str) -> dict[str, Any]:
        async with self.http.get(f"http://{node.operators}/{path}") as response:
            answer: dict[str, Any] = await response.json()
        return answer

    async def gossip(self, nodes: Sequence[MeshNode]) -> dict[str, float]:
        """Return the totals of what the nodes sent."""
        answers = await asyncio.gather(*(self.ask(node, "status") for node in nodes))
        return {
            name: sum(answer["gossip"][name] for answer in answers)
            for name in ("sent", "sent_bytes", "refutations")
        }

    async def states(self, node: MeshNode) -> dict[str, str]:
        """Return the states of all members this node knows, by the address of their operators."""
        members = (await self.ask(node, "members"))["members"]
        return {member["operators_address"]: member["state"] for member in members}

    async def until(
        self, condition: Callable[[MeshNode], Awaitable[bool]], nodes: Sequence[MeshNode]
    ) -> float:
        """Ask each node until ``condition`` holds of it; return when the last one came to it."""

        async def come_to_it(node: MeshNode) -> float:
            while True:
                try:
                    if await condition(node):
                        return time.monotonic()
                except (aiohttp.ClientError, OSError):
                    pass  # not started yet
                await asyncio.sleep(POLL_S)

        try:
            async with asyncio.timeout(LIMIT_S):
                return max(await asyncio.gather(*map(come_to_it, nodes)))
        except TimeoutError as error:
            raise TimeoutError(f"not so after {LIMIT_S} s\n{self.output()}") from error

    async def until_known(self, nodes: Sequence[MeshNode], state: str) -> float:
        """Wait until every node knows these in ``state`` (``""``: not at all); return when."""
        wanted = {node.operators for node in nodes}

        async def known(node: MeshNode) -> bool:
            states = await self.states(node)
            return all(states.get(address, "") == state for address in wanted)

        others = [node for node in self.nodes if node.process and node.process.running]
        return await self.until(known, others)

    # What nodes cost

    def cpu_s(self, nodes: Iterable[MeshNode]) -> float:
        """Return the processor time that these nodes have used."""
        return sum(read_process_usage(pid).cpu_s for pid in pids(nodes))

    def memory(self) -> Memory:
        """Return the mean of the nodes."""
        found = [read_memory(pid) for pid in pids(self.nodes)]
        return Memory(
            *(
                statistics.fmean(getattr(each, name) for each in found)
                for name in ("rss_mb", "pss_mb", "uss_mb")
            )
        )

    def peer_links(self) -> float:
        """Return how many connections of peers a node has taken in, on average."""
        ports = {parse_address(node.peers)[1] for node in self.nodes}
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        packed = ipaddress.ip_address(self.host).packed[::-1].hex().upper()
        ends = [row[1].split(":") for row in rows if row[3] == ESTABLISHED]
        held = [port for host, port in ends if host == packed and int(port, 16) in ports]
        return len(held) / len(self.nodes)


def pids(nodes: Iterable[MeshNode]) -> list[int]:
    return [node.process.process.pid for node in nodes if node.process is not None]
