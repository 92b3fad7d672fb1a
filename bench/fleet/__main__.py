"""Starts fleets of node processes one after another, and prints what control costs in them.

Each fleet idles, then meets settings changes, drains, replacements, an outage of the store, the
loss of a tenth and a restart of all. Lines are fitted to the costs over the size of the fleet,
to times over its logarithm, and carried on to a large fleet. Writes ``out/fleet.json``.
"""

import argparse
import asyncio
import json
import os
import time
from pathlib import Path
from typing import Any

import attrs

from bench.fleet._measure import measure, measure_bare
from bench.fleet._report import extrapolate, print_tables

SIZES = (10, 20, 40, 80)
LIBRARIES = ("asyncio", "aiohttp", "websockets", "cbor2", "structlog")
BARE = {"python": (), "libraries": LIBRARIES, "node's code": ("marjoramtide.daemon._process",)}
OUT = Path("out/fleet.json")


async def run(sizes: list[int]) -> None:
    bare = {name: await measure_bare(modules) for name, modules in BARE.items()}
    found = []
    for size in sizes:
        began = time.monotonic()
        found.append(await measure(size))
        took, load = time.monotonic() - began, os.getloadavg()[0]
        print(f"{size} nodes measured in {took:.0f} s; load of the machine {load:.1f}", flush=True)
    lines = extrapolate(found) if len(found) > 1 else {}
    print_tables(found, lines, bare)
    write(
        {
            "bare": {name: attrs.asdict(memory) for name, memory in bare.items()},
            "measured": [attrs.asdict(item) for item in found],
            "fits": {name: attrs.asdict(line) for name, line in lines.items()},
        }
    )


def write(report: dict[str, Any]) -> None:
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    print(f"written to {OUT}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="python -m bench.fleet", description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, help="10 20 40 80 by default")
    asyncio.run(run(parser.parse_args().sizes or list(SIZES)))
