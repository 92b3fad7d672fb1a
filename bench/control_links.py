"""Measures the cost of a connection between two nodes: to open, to keep, and per request.

Connections of the request lanes are kept open; those of the control lane close when idle. A node
that is connected to all other nodes holds one client end and one server end for each of them. Both
ends are in this process, so the figures for one connection are those for one more peer of such a
node. Nothing else runs here; the only pings are those of the connections.
"""

import asyncio
import gc
import os
import resource
import statistics
import time
from typing import Any

from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.exchange import Request, RequestBody, RequestHandler, Response
from marjoramtide.peers import PeerClient, PeerControlChannel, PeerServer
from marjoramtide.peers._lanes import ROUTINE
from standins.free_port import free_port

SIZES = (50, 100, 200, 400)
IDLE_S = 8.0
REQUESTS = 2000
KEY = "the key of a measured fleet"
PAGE_KB = resource.getpagesize() / 1024
TARGET = 789


class NoRequests(RequestHandler):
    """Handler of a server to which no requests are sent."""

    async def handle(self, request: Request, body: RequestBody) -> Response:
        raise NotImplementedError


def resident_kb() -> float:
    """Return the memory of this process in KB."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_KB


async def answer(question: dict[str, Any]) -> dict[str, Any]:
    """Answer like a node that has the same settings revision as the caller."""
    return {"revision": question["have"], "current": True, "envelope": b""}


async def measure() -> None:
    clock = SystemClock()
    host = f"127.{64 + os.getpid() % 128}.0.1"
    port = free_port(host)
    server = PeerServer(KEY, clock, FreezeDetector(clock))
    server.handler = NoRequests()
    await server.start(host, port)
    clients: list[PeerClient] = []
    opening_cpu_s = 0.0
    memory, cpu = [], []
    print(f"{'connections':>12}{'KB each':>10}{'CPU %':>10}{'CPU % each':>12}")
    base = resident_kb()
    for size in SIZES:
        cpu_before = time.process_time()
        while len(clients) < size:
            client = PeerClient(KEY, clock)
            await client.link(f"{host}:{port}", ROUTINE)
            clients.append(client)
        opening_cpu_s += time.process_time() - cpu_before
        await asyncio.sleep(1.0)
        memory.append((resident_kb() - base) / 1024)
        cpu_before, started_at = time.process_time(), time.perf_counter()
        await asyncio.sleep(IDLE_S)
        cpu.append(100 * (time.process_time() - cpu_before) / (time.perf_counter() - started_at))
        each = 1024 * memory[-1] / size
        print(f"{size:>12}{each:>10.1f}{cpu[-1]:>10.2f}{cpu[-1] / size:>12.4f}", flush=True)
    print(f"opening one: {1e6 * opening_cpu_s / SIZES[-1]:.0f} us of CPU")
    print_fit("memory, MB", memory)
    print_fit("CPU, % of a core", cpu)
    await measure_requests(clients[0], server, f"{host}:{port}")
    await asyncio.gather(*(client.close() for client in clients))
    await server.close()


def print_fit(name: str, values: list[float]) -> None:
    slope, intercept = statistics.linear_regression(SIZES, values)
    residual = max(
        abs(value - intercept - slope * size) for size, value in zip(SIZES, values, strict=True)
    )
    print(
        f"{name}: {slope:.4g} for each connection, largest residual {residual:.2g}; "
        f"{intercept + slope * TARGET:.3g} at {TARGET} (extrapolated)"
    )


async def measure_requests(client: PeerClient, server: PeerServer, address: str) -> None:
    """Send requests one after the other over one connection; the CPU time includes both ends."""
    channel = PeerControlChannel(client, server)
    channel.answer("settings.pull", answer)
    cpu_before = time.process_time()
    for _ in range(REQUESTS):
        await channel.ask(address, "settings.pull", {"have": 7})
    each = (time.process_time() - cpu_before) / REQUESTS
    print(f"one request and its response: {1e6 * each:.0f} us of CPU, both ends together")


def main() -> None:
    asyncio.run(measure())


if __name__ == "__main__":
    main()
