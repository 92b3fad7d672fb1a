"""Compares calls to a backend server with the same calls over one hop and over two.

Starts a mesh on loopback that serves no other calls. Direct calls, calls through the backend
server's node (one hop) and calls that a node of another service forwards (two hops) alternate at a
constant rate, both as GET (idempotent) and as POST (not idempotent). Then a closed loop of callers
saturates each path through nodes. Prints two tables and writes ``out/bench-hop.json``. Processor
time is that of the nodes, less what they use when idle.
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

from bench.hop._call_path import CallPath
from bench.hop._call_paths import SERVICES, SLOTS, make_call_paths
from bench.hop._crowd import CallGenerator
from bench.hop._process_use import ProcessUsage, read_process_usage
from standins.mesh import Mesh, make_plan

WARM_UP_S = 3.0
IDLE_S = 4.0
OUTPUT_FILE = Path("out/bench-hop.json")


def read_all_usage(call_paths: list[CallPath]) -> dict[int, ProcessUsage]:
    return {pid: read_process_usage(pid) for path in call_paths for pid in path.nodes}


def cpu_used_s(before: dict[int, ProcessUsage], after: dict[int, ProcessUsage]) -> dict[int, float]:
    """Return the processor time that each process used, in seconds."""
    return {pid: use.cpu_s - before[pid].cpu_s for pid, use in after.items()}


async def measure_idle(call_paths: list[CallPath]) -> dict[int, float]:
    """Return the fraction of a core that each node uses without calls."""
    before = read_all_usage(call_paths)
    await asyncio.sleep(IDLE_S)
    return {
        pid: cpu / IDLE_S for pid, cpu in cpu_used_s(before, read_all_usage(call_paths)).items()
    }


async def run_steady(
    call_paths: list[CallPath], idle: dict[int, float], per_s: float, seconds: float
) -> list[dict[str, Any]]:
    """Run all paths at a constant rate; return a row for each."""
    generator = CallGenerator(call_paths)
    await generator.connect()
    await generator.run_open_loop(per_s, WARM_UP_S)
    for path in call_paths:
        path.latency.reset()
    before = read_all_usage(call_paths)
    await generator.run_open_loop(per_s, seconds)
    after = read_all_usage(call_paths)
    generator.close()
    used = cpu_used_s(before, after)
    return [steady_row(path, call_paths, used, idle, after, seconds) for path in call_paths]


def steady_row(
    path: CallPath,
    call_paths: list[CallPath],
    used: dict[int, float],
    idle: dict[int, float],
    after: dict[int, ProcessUsage],
    seconds: float,
) -> dict[str, Any]:
    calls = sum(other.latency.get_total_count() for other in call_paths if other.name == path.name)
    cpu_s = sum(used[pid] - idle[pid] * seconds for pid in path.nodes)
    direct = next(each for each in call_paths if each.method == path.method and not each.nodes)
    percents = (50, 99, 99.9)
    return {
        "way": path.name,
        "method": path.method,
        "calls": path.latency.get_total_count(),
        "failed": path.failed,
        **{f"p{each}_ms": path.percentile_ms(each) for each in percents},
        **{f"added_p{each}_ms": added_ms(path, direct, each) for each in percents},
        # Both methods run concurrently on the same nodes, so this is the mean of both.
        "cpu_us_per_call": round(cpu_s / calls * 1e6),
        "rss_mb": [round(after[pid].rss_bytes / 1e6, 1) for pid in path.nodes],
    }


def added_ms(path: CallPath, direct: CallPath, percent: float) -> float:
    return round(path.percentile_ms(percent) - direct.percentile_ms(percent), 3)


async def run_saturated(
    path: CallPath, idle: dict[int, float], callers: int, seconds: float
) -> dict[str, Any]:
    """Saturate one path; return the call rate and the processor time of its nodes."""
    generator = CallGenerator([path])
    await generator.connect(callers)
    await generator.run_closed_loop(path, callers, 0.5)
    failed_before = path.failed
    before = read_all_usage([path])
    completed = await generator.run_closed_loop(path, callers, seconds)
    used = cpu_used_s(before, read_all_usage([path]))
    generator.close()
    busy = {pid: used[pid] - idle[pid] * seconds for pid in path.nodes}
    return {
        "way": path.name,
        "method": path.method,
        "calls_per_s": round(completed / seconds),
        "failed": path.failed - failed_before,
        "cores_used": [round(used[pid] / seconds, 2) for pid in path.nodes],
        "cpu_us_per_call": [round(busy[pid] / completed * 1e6) for pid in path.nodes],
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
            call_paths = make_call_paths(mesh)
            # Garbage collections in this process would add to the latencies.
            gc.collect()
            gc.disable()
            idle = await measure_idle(call_paths)
            steady = await run_steady(call_paths, idle, options.rate, options.seconds)
            print_steady(steady)
            saturated = [
                await run_saturated(path, idle, options.callers, options.saturated_seconds)
                for path in call_paths
                if path.nodes
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
    """Write the result to ``OUTPUT_FILE`` for other tools."""
    OUTPUT_FILE.parent.mkdir(exist_ok=True)
    OUTPUT_FILE.write_text(json.dumps(result, indent=1) + "\n")
    print(f"load average {result['load_average'][0]:.1f}; written to {OUTPUT_FILE}")


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.hop", description=__doc__)
    parser.add_argument("--rate", type=float, default=300.0, help="calls a second over all paths")
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--callers", type=int, default=8, help="callers at saturation")
    parser.add_argument("--saturated-seconds", type=float, default=4.0)
    return parser.parse_args()


def precise_loop() -> asyncio.AbstractEventLoop:
    """Return a loop with microsecond timers; those of epoll have millisecond resolution."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=precise_loop) as runner:
        sys.exit(runner.run(run(parse())))
