"""Measures what connections cost a node: ``python -m bench.hop.slopes``.

Opens connections of callers, then of peers, to one idle node in steps, and prints the node's memory
and processor time at each step; for peers also those of this process, which holds the other ends.
Each caller's connection has carried one call, and each peer's connection its handshake. Writes
``out/bench-slopes.json``.
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

from bench.hop._call_paths import SERVICES, SLOTS, make_call_paths, pid_of
from bench.hop._crowd import CallGenerator
from bench.hop._process_use import read_process_usage
from marjoramtide.clock import SystemClock
from marjoramtide.peers import PeerClient
from standins.mesh import KEY, Mesh, make_plan

STEPS = (0, 50, 200, 400)
SETTLE_S = 1.0
MEASURE_S = 4.0
OUTPUT_FILE = Path("out/bench-slopes.json")


@attrs.frozen(slots=True)
class Row:
    """One step: open connections, memory in MB and fraction of a core, here and in the node."""

    kind: str
    connections: int
    node_mb: float
    node_core_share: float
    own_mb: float
    own_core_share: float


async def measure_step(kind: str, connections: int, node_pid: int) -> Row:
    """Wait until the processes have settled, then measure the node and this process."""
    gc.collect()
    await asyncio.sleep(SETTLE_S)
    pids = {"node": node_pid, "own": os.getpid()}
    before = {name: read_process_usage(pid) for name, pid in pids.items()}
    await asyncio.sleep(MEASURE_S)
    values: dict[str, float] = {}
    for name, pid in pids.items():
        use = read_process_usage(pid)
        values[f"{name}_mb"] = round(use.rss_bytes / 1e6, 2)
        values[f"{name}_core_share"] = round((use.cpu_s - before[name].cpu_s) / MEASURE_S, 4)
    return Row(kind, connections, **values)


async def measure_steps(
    kind: str, node_pid: int, connect_up_to: Callable[[int], Awaitable[None]]
) -> list[Row]:
    """Add connections in steps; ``connect_up_to(count)`` raises their number to ``count``."""
    rows = []
    for count in STEPS:
        await connect_up_to(count)
        rows.append(await measure_step(kind, count, node_pid))
        print_row(rows[-1], rows[0])
    return rows


def print_row(row: Row, first: Row) -> None:
    per_kb = "".join(
        f"{(now - initial) * 1000 / row.connections:>10.1f}" if row.connections else f"{'-':>10}"
        for now, initial in ((row.node_mb, first.node_mb), (row.own_mb, first.own_mb))
    )
    print(
        f"{row.kind:<9}{row.connections:>6}{row.node_mb:>9.2f}{row.node_core_share:>9.2%}"
        f"{row.own_mb:>9.2f}{row.own_core_share:>9.2%}{per_kb}",
        flush=True,
    )


async def measure_callers(mesh: Mesh) -> list[Row]:
    path = make_call_paths(mesh)[1]
    generator = CallGenerator([path])

    async def connect_up_to(count: int) -> None:
        await generator.connect(count - len(generator.idle_connections[path]))
        # Concurrent calls, so that each connection carries one.
        for _ in range(count):
            generator.call(path, asyncio.get_running_loop().time())
            await asyncio.sleep(0.002)
        if count:
            await generator.wait_until_idle()

    rows = await measure_steps("callers", pid_of(mesh.nodes[0]), connect_up_to)
    generator.close()
    return rows


async def measure_peers(mesh: Mesh) -> list[Row]:
    node = mesh.nodes[1]
    clients: list[PeerClient] = []

    async def connect_up_to(count: int) -> None:
        while len(clients) < count:
            clients.append(PeerClient(KEY, SystemClock()))
            await clients[-1].get_link(node.peers, "routine")

    rows = await measure_steps("peers", pid_of(node), connect_up_to)
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
    OUTPUT_FILE.parent.mkdir(exist_ok=True)
    OUTPUT_FILE.write_text(json.dumps(rows, indent=1) + "\n")
    print(f"KB for each connection in the last two columns; written to {OUTPUT_FILE}")


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
