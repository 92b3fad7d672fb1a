"""Compares a call to a backend server with the same call over one hop and over two.

Starts a mesh on loopback, idle but for the measured calls. Direct calls, calls over the node beside
the backend server (one hop) and calls that a node of another service forwards (two hops) take
turns at a steady rate, GET (idempotent) and POST (not) alike; then each way over nodes is driven
by callers that wait for nothing but their answers. Prints two tables and writes
``out/bench-hop.json``. Processor time is that of the nodes alone, without what they use when idle.
"""

import argparse
import asyncio
import gc
import json
import os
import selectors
import sys
import tempfile
from pathlib import Path
from typing import Any

from bench.hop._crowd import Crowd
from bench.hop._process_use import ProcessUse, read_use
from bench.hop._way import Way
from bench.hop._ways import SERVICES, SLOTS, make_ways
from standins.mesh import Mesh, make_plan

WARM_UP_S = 3.0
IDLE_S = 4.0
OUT = Path("out/bench-hop.json")


def read_all(ways: list[Way]) -> dict[int, ProcessUse]:
    return {pid: read_use(pid) for way in ways for pid in way.nodes}


def cpu_between(before: dict[int, ProcessUse], after: dict[int, ProcessUse]) -> dict[int, float]:
    """Return the processor seconds that each process used."""
    return {pid: use.cpu_s - before[pid].cpu_s for pid, use in after.items()}


async def measure_idle(ways: list[Way]) -> dict[int, float]:
    """Return the share of a core that each node uses without calls."""
    before = read_all(ways)
    await asyncio.sleep(IDLE_S)
    return {pid: cpu / IDLE_S for pid, cpu in cpu_between(before, read_all(ways)).items()}


async def run_steady(
    ways: list[Way], idle: dict[int, float], per_s: float, seconds: float
) -> list[dict[str, Any]]:
    """Run all ways at the steady rate; return a row for each."""
    crowd = Crowd(ways)
    await crowd.connect()
    await crowd.steady(per_s, WARM_UP_S)
    for way in ways:
        way.latency.reset()
    before = read_all(ways)
    await crowd.steady(per_s, seconds)
    after = read_all(ways)
    crowd.close()
    used = cpu_between(before, after)
    return [steady_row(way, ways, used, idle, after, seconds) for way in ways]


def steady_row(
    way: Way,
    ways: list[Way],
    used: dict[int, float],
    idle: dict[int, float],
    after: dict[int, ProcessUse],
    seconds: float,
) -> dict[str, Any]:
    calls = sum(other.latency.get_total_count() for other in ways if other.name == way.name)
    cpu_s = sum(used[pid] - idle[pid] * seconds for pid in way.nodes)
    direct = next(each for each in ways if each.method == way.method and not each.nodes)
    percents = (50, 99, 99.9)
    return {
        "way": way.name,
        "method": way.method,
        "calls": way.latency.get_total_count(),
        "failed": way.failed,
        **{f"p{each}_ms": way.percentile_ms(each) for each in percents},
        **{f"added_p{each}_ms": added_ms(way, direct, each) for each in percents},
        # Both methods run at once on the same nodes, so this is the mean of the two.
        "cpu_us_per_call": round(cpu_s / calls * 1e6),
        "rss_mb": [round(after[pid].rss_bytes / 1e6, 1) for pid in way.nodes],
    }


def added_ms(way: Way, direct: Way, percent: float) -> float:
    return round(way.percentile_ms(percent) - direct.percentile_ms(percent), 3)


async def run_saturated(
    way: Way, idle: dict[int, float], callers: int, seconds: float
) -> dict[str, Any]:
    """Drive one way as fast as it answers; return calls a second for one core of each node."""
    crowd = Crowd([way])
    await crowd.connect(callers)
    await crowd.saturate(way, callers, 0.5)
    failed_before = way.failed
    before = read_all([way])
    answered = await crowd.saturate(way, callers, seconds)
    used = cpu_between(before, read_all([way]))
    crowd.close()
    busy = {pid: used[pid] - idle[pid] * seconds for pid in way.nodes}
    return {
        "way": way.name,
        "method": way.method,
        "calls_per_s": round(answered / seconds),
        "failed": way.failed - failed_before,
        "cores_used": [round(used[pid] / seconds, 2) for pid in way.nodes],
        "cpu_us_per_call": [round(busy[pid] / answered * 1e6) for pid in way.nodes],
    }


def print_steady(rows: list[dict[str, Any]]) -> None:
    names = ("p50", "p99", "p99.9", "+p50", "+p99", "+p99.9", "CPU us", "RSS MB")
    print(f"{'steady rate, ms':<15}{'calls':>7}{'failed':>7}" + ("{:>9}" * 8).format(*names))
    for row in rows:
        times = [row[f"{kind}{p}_ms"] for kind in ("p", "added_p") for p in (50, 99, 99.9)]
        memory = "/".join(f"{size:.0f}" for size in row["rss_mb"]) or "-"
        print(
            f"{row['way'] + ' ' + row['method']:<15}{row['calls']:>7}{row['failed']:>7}"
            + "".join(f"{time:>9.3f}" for time in times)
            + f"{row['cpu_us_per_call']:>9}{memory:>9}"
        )


def print_saturated(rows: list[dict[str, Any]]) -> None:
    names = ("calls/s", "failed", "cores used", "CPU us a call")
    print(f"{'saturated':<15}" + ("{:>15}" * 4).format(*names))
    for row in rows:
        cores, cpu = (" + ".join(map(str, row[key])) for key in ("cores_used", "cpu_us_per_call"))
        print(
            f"{row['way'] + ' ' + row['method']:<15}{row['calls_per_s']:>15}{row['failed']:>15}"
            f"{cores:>15}{cpu:>15}"
        )


async def run(options: argparse.Namespace) -> int:
    with tempfile.TemporaryDirectory() as folder:
        async with Mesh(Path(folder), make_plan(SERVICES, SLOTS, 0.0)) as mesh:
            await mesh.wait_until_ready()
            ways = make_ways(mesh)
            # The collector of this process would show in the latencies of the calls.
            gc.collect()
            gc.disable()
            idle = await measure_idle(ways)
            steady = await run_steady(ways, idle, options.rate, options.seconds)
            print_steady(steady)
            saturated = [
                await run_saturated(way, idle, options.callers, options.saturated_seconds)
                for way in ways
                if way.nodes
            ]
            print_saturated(saturated)
    result = {
        "rate_per_s": options.rate,
        "load_average": os.getloadavg(),
        "idle_core_share": list(idle.values()),
        "steady": steady,
        "saturated": saturated,
    }
    write(result)
    return 1 if any(row["failed"] for row in steady) else 0


def write(result: dict[str, Any]) -> None:
    """Keep the result where other tools can read it."""
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(result, indent=1) + "\n")
    print(f"load average {result['load_average'][0]:.1f}; written to {OUT}")


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.hop", description=__doc__)
    parser.add_argument("--rate", type=float, default=300.0, help="calls a second over all ways")
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--callers", type=int, default=8, help="callers at saturation")
    parser.add_argument("--saturated-seconds", type=float, default=4.0)
    return parser.parse_args()


def precise_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose timers are exact to microseconds; epoll's wait in whole milliseconds."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=precise_loop) as runner:
        sys.exit(runner.run(run(parse())))
