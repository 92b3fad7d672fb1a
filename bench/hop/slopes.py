"""What connections cost a node: ``python -m bench.hop.slopes``.

Opens callers' connections, then peers' connections, to one idle node in steps, and prints the
node's memory and processor time at each step; for peers also those of this process, which holds
the other ends. Each caller's connection has carried one call and each peer's connection its
handshake. Writes ``out/bench-slopes.json``.
"""

import asyncio
import gc
import json
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs

from bench.hop._crowd import Crowd
from bench.hop._process_use import read_use
from bench.hop._ways import SERVICES, SLOTS, make_ways, pid_of
from marjoramtide.clock import SystemClock
from marjoramtide.peers import PeerClient
from standins.mesh import KEY, Mesh, make_plan

STEPS = (0, 50, 200, 400)
SETTLE_S = 1.0
WATCH_S = 4.0
OUT = Path("out/bench-slopes.json")


@attrs.frozen(slots=True)
class Row:
    """One step: connections open, memory in MB and the share of a core, here and in the node."""

    kind: str
    connections: int
    node_mb: float
    node_core_share: float
    own_mb: float
    own_core_share: float


async def watch(kind: str, connections: int, node_pid: int) -> Row:
    """Let things settle, then watch the node and this process for a while."""
    gc.collect()
    await asyncio.sleep(SETTLE_S)
    pids = {"node": node_pid, "own": os.getpid()}
    before = {name: read_use(pid) for name, pid in pids.items()}
    await asyncio.sleep(WATCH_S)
    values: dict[str, float] = {}
    for name, pid in pids.items():
        use = read_use(pid)
        values[f"{name}_mb"] = round(use.rss_bytes / 1e6, 2)
        values[f"{name}_core_share"] = round((use.cpu_s - before[name].cpu_s) / WATCH_S, 4)
    return Row(kind, connections, **values)


async def climb(kind: str, node_pid: int, add: Callable[[int], Awaitable[None]]) -> list[Row]:
    """Add connections step by step; ``add`` brings their number to what it is given."""
    rows = []
    for count in STEPS:
        await add(count)
        rows.append(await watch(kind, count, node_pid))
        print_row(rows[-1], rows[0])
    return rows


def print_row(row: Row, first: Row) -> None:
    per_kb = "".join(
        f"{(now - then) * 1000 / row.connections:>10.1f}" if row.connections else f"{'-':>10}"
        for now, then in ((row.node_mb, first.node_mb), (row.own_mb, first.own_mb))
    )
    print(
        f"{row.kind:<9}{row.connections:>6}{row.node_mb:>9.2f}{row.node_core_share:>9.2%}"
        f"{row.own_mb:>9.2f}{row.own_core_share:>9.2%}{per_kb}",
        flush=True,
    )


async def measure_callers(mesh: Mesh) -> list[Row]:
    way = make_ways(mesh)[1]
    crowd = Crowd([way])

    async def add(count: int) -> None:
        await crowd.connect(count - len(crowd.free[way]))
        # All at once, so that each connection carries a call.
        for _ in range(count):
            crowd.call(way, asyncio.get_running_loop().time())
            await asyncio.sleep(0.002)
        if count:
            await crowd.all_ended()

    rows = await climb("callers", pid_of(mesh.nodes[0]), add)
    crowd.close()
    return rows


async def measure_peers(mesh: Mesh) -> list[Row]:
    node = mesh.nodes[1]
    clients: list[PeerClient] = []

    async def add(count: int) -> None:
        while len(clients) < count:
            clients.append(PeerClient(KEY, SystemClock()))
            await clients[-1].link(node.peers, "routine")

    rows = await climb("peers", pid_of(node), add)
    await asyncio.gather(*(client.close() for client in clients))
    return rows


async def run() -> int:
    with tempfile.TemporaryDirectory() as folder:
        async with Mesh(Path(folder), make_plan(SERVICES, SLOTS, 0.0)) as mesh:
            await mesh.wait_until_ready()
            names = ("open", "node MB", "node CPU", "own MB", "own CPU", "node KB", "own KB")
            print(("{:<9}{:>6}" + "{:>9}" * 4 + "{:>10}" * 2).format("kind", *names))
            rows = await measure_callers(mesh) + await measure_peers(mesh)
    write([attrs.asdict(row) for row in rows])
    return 0


def write(rows: list[dict[str, Any]]) -> None:
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(rows, indent=1) + "\n")
    print(f"KB for each connection in the last two columns; written to {OUT}")


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
