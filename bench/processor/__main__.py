"""Prints the CPU time of nodes by cause, each measured in a run of its own.

Starts nodes with the platform interface beside stand-ins. The causes are imports, a start until
readiness, an idle second with and without health checks, a configuration change, and requests
without keys, with keys, and with keys and a quota. Only the CPU time of the nodes counts.
"""

import argparse
import asyncio
import itertools
import os
import resource
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

from bench.processor._fleet import KEY, QUOTA, WORKSPACE, ProcessorFleet
from bench.processor._spent import CpuTime

SETTLING_S = 4.0
IDLE_S = 10.0
CHANGES = 5
CHANGE_S = 2.0
SERVICE_MS = 20.0
BARE_RUNS = 10
REQUESTS = (
    ("without a key", "", None),
    ("with a key", KEY, WORKSPACE),
    ("with a key and a quota", KEY, WORKSPACE | QUOTA),
)
BARE = {
    "Python": "",
    "asyncio": "import asyncio",
    "aiohttp": "import aiohttp.web",
    "a node's code": "import marjoramtide.daemon._process",
}


def import_cpu_time(code: str) -> CpuTime:
    """Return the CPU time of a process that only runs imports."""
    command = [sys.executable, "-c", f"import gc; gc.disable(); {code}"]
    subprocess.run(command, check=True)  # compiles modules that aren't compiled yet
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    for _ in range(BARE_RUNS):
        subprocess.run(command, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user_s = after.ru_utime - before.ru_utime
    return CpuTime(user_s, after.ru_stime - before.ru_stime) * (1000 / BARE_RUNS)


@asynccontextmanager
async def run_fleet(
    nodes: int, with_health_checks: bool = True, **settings: Any
) -> AsyncIterator[ProcessorFleet]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessorFleet(Path(folder), nodes, SERVICE_MS)
        for name, value in settings.items():
            setattr(fleet, name, value)
        fleet.set_base(
            **({} if with_health_checks else {"measuring_per_s": 0.1, "measuring_share": 0.0})
        )
        async with fleet:
            yield fleet


async def send(fleet: ProcessorFleet, per_node: float, seconds: float, key: str) -> None:
    """Send requests at an even rate through all nodes in turn."""
    rate = per_node * fleet.nodes
    turns = itertools.cycle(range(fleet.nodes))

    async def one(number: int) -> int:
        await asyncio.sleep(number / rate)
        return (await fleet.send(next(turns), f"{number:016x}", key)).status

    statuses = await asyncio.gather(*(one(number) for number in range(int(rate * seconds))))
    refused = sum(status != 200 for status in statuses)
    if refused:
        print(f"   {refused} of {len(statuses)} requests were not served")


async def measure(nodes: int, per_node: float) -> None:
    for name, code in BARE.items():
        print_cpu_time(f"imports of {name}", import_cpu_time(code))
    idle_cpu_time = await measure_control(nodes)
    async with run_fleet(nodes, with_health_checks=False) as fleet:
        await asyncio.sleep(SETTLING_S)
        idle = partial(asyncio.sleep, IDLE_S)
        print_cpu_time(
            "an idle second without health checks",
            await fleet.measure_cpu_time(nodes * IDLE_S, idle),
        )
    for name, key, workspace in REQUESTS:
        async with run_fleet(nodes, workspace=workspace) as fleet:
            await asyncio.sleep(SETTLING_S)
            await send(fleet, per_node, SETTLING_S, key)
            sent = nodes * per_node * IDLE_S
            cpu_time = await fleet.measure_cpu_time(
                sent, partial(send, fleet, per_node, IDLE_S, key)
            )
            print_cpu_time(f"a request {name}", cpu_time - idle_cpu_time / per_node)


async def measure_control(nodes: int) -> CpuTime:
    """Print the CPU time without requests; return that of an idle second of one node."""
    async with run_fleet(nodes) as fleet:
        print_cpu_time("a start until callers may come", fleet.cpu_time() / nodes)
        await asyncio.sleep(SETTLING_S)
        idle = await fleet.measure_cpu_time(nodes * IDLE_S, partial(asyncio.sleep, IDLE_S))
        print_cpu_time("an idle second", idle)

        async def change() -> None:
            for _ in range(CHANGES):
                fleet.change()
                await asyncio.sleep(CHANGE_S)

        changed = await fleet.measure_cpu_time(nodes * CHANGES, change)
        print_cpu_time("a changed configuration, each node", changed - idle * CHANGE_S)
    return idle


def print_cpu_time(name: str, cpu_time: CpuTime) -> None:
    print(f"{name:40} {cpu_time}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.processor", description=__doc__)
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--per-node", type=float, default=10.0, help="requests a second and node")
    options = parser.parse_args()
    # As in production, connections of a node don't use TLS and all code is compiled.
    os.environ |= {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    with tempfile.TemporaryDirectory() as compiled:
        os.environ["PYTHONPYCACHEPREFIX"] = compiled
        asyncio.run(measure(options.nodes, options.per_node))
    print(f"load of the machine {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
