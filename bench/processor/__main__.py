"""Prints the processor time of nodes by cause, each from a run that has only it.

Starts nodes on the platform's interface beside stand-ins: bare imports, a start until callers may
come, an idle second with and without looks at the servers beside, a changed configuration, and
requests without keys, with keys, and with keys and a quota. All times are of the nodes alone.
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
from bench.processor._spent import Spent

SETTLE_S = 4.0
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


def spent_on_imports(code: str) -> Spent:
    """Return the processor time of a process that only imports."""
    command = [sys.executable, "-c", f"import gc; gc.disable(); {code}"]
    subprocess.run(command, check=True)  # compiles what isn't compiled yet
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    for _ in range(BARE_RUNS):
        subprocess.run(command, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user_s = after.ru_utime - before.ru_utime
    return Spent(user_s, after.ru_stime - before.ru_stime) * (1000 / BARE_RUNS)


@asynccontextmanager
async def fleet(nodes: int, looks: bool = True, **settings: Any) -> AsyncIterator[ProcessorFleet]:
    with tempfile.TemporaryDirectory() as folder:
        made = ProcessorFleet(Path(folder), nodes, SERVICE_MS)
        for name, value in settings.items():
            setattr(made, name, value)
        made.set_base(**({} if looks else {"measuring_per_s": 0.1, "measuring_share": 0.0}))
        async with made:
            yield made


async def send(made: ProcessorFleet, per_node: float, seconds: float, key: str) -> None:
    """Send requests at an even rate to all nodes in turn."""
    rate = per_node * made.nodes
    turns = itertools.cycle(range(made.nodes))

    async def one(number: int) -> int:
        await asyncio.sleep(number / rate)
        return (await made.send(next(turns), f"{number:016x}", key)).status

    statuses = await asyncio.gather(*(one(number) for number in range(int(rate * seconds))))
    refused = sum(status != 200 for status in statuses)
    if refused:
        print(f"   {refused} of {len(statuses)} requests were not served")


async def measure(nodes: int, per_node: float) -> None:
    for name, code in BARE.items():
        show(f"imports of {name}", spent_on_imports(code))
    with_looks = await measure_control(nodes)
    async with fleet(nodes, looks=False) as made:
        await asyncio.sleep(SETTLE_S)
        idle = partial(asyncio.sleep, IDLE_S)
        show("an idle second without looks", await made.spend(nodes * IDLE_S, idle))
    for name, key, workspace in REQUESTS:
        async with fleet(nodes, workspace=workspace) as made:
            await asyncio.sleep(SETTLE_S)
            await send(made, per_node, SETTLE_S, key)
            sent = nodes * per_node * IDLE_S
            spent = await made.spend(sent, partial(send, made, per_node, IDLE_S, key))
            show(f"a request {name}", spent - with_looks / per_node)


async def measure_control(nodes: int) -> Spent:
    """Print what nodes take without requests; return what an idle second of one takes."""
    async with fleet(nodes) as made:
        show("a start until callers may come", made.spent() / nodes)
        await asyncio.sleep(SETTLE_S)
        idle = await made.spend(nodes * IDLE_S, partial(asyncio.sleep, IDLE_S))
        show("an idle second", idle)

        async def change() -> None:
            for _ in range(CHANGES):
                made.change()
                await asyncio.sleep(CHANGE_S)

        changed = await made.spend(nodes * CHANGES, change)
        show("a changed configuration, each node", changed - idle * CHANGE_S)
    return idle


def show(name: str, spent: Spent) -> None:
    print(f"{name:40} {spent}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.processor", description=__doc__)
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--per-node", type=float, default=10.0, help="requests a second and node")
    options = parser.parse_args()
    # As in a deployment: no connection of a node uses TLS, and all code is compiled.
    os.environ |= {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    with tempfile.TemporaryDirectory() as compiled:
        os.environ["PYTHONPYCACHEPREFIX"] = compiled
        asyncio.run(measure(options.nodes, options.per_node))
    print(f"load of the machine {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
