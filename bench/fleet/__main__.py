"""Starts fleets of node processes of several sizes, and prints the cost of their control plane.

Each fleet is measured while idle and during settings changes, drains, evacuations, replacements,
a store outage, the loss of a tenth of the nodes and a restart of all nodes. Costs are fitted
linearly over the size of the fleet and times over its logarithm, and extrapolated to a large
fleet. Writes ``out/fleet.json``.
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
    measurements = []
    for size in sizes:
        started_at = time.monotonic()
        measurements.append(await measure(size))
        took, load = time.monotonic() - started_at, os.getloadavg()[0]
        print(f"{size} nodes measured in {took:.0f} s; load of the machine {load:.1f}", flush=True)
    fits = extrapolate(measurements) if len(measurements) > 1 else {}
    print_tables(measurements, fits, bare)
    write(
        {
            "bare": {name: attrs.asdict(memory) for name, memory in bare.items()},
            "measured": [attrs.asdict(item) for item in measurements],
            "fits": {name: attrs.asdict(fit) for name, fit in fits.items()},
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
