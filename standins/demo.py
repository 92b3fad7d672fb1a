"""Runs a demonstration mesh: ``make demo``.

Starts an object store, backend servers and their nodes on loopback, sends lookups, bookings and
urgent lookups, kills one backend server with its node half-way, and compares the outcomes that
callers saw with the executions on the backend servers.
"""

import asyncio
import contextlib
import itertools
import random
import sys
import tempfile
import time
from pathlib import Path

from bench.load import (
    Audit,
    CallResult,
    Outcome,
    PlannedCall,
    StandInReport,
    Tally,
    audit,
    play,
    tally,
)
from standins.mesh import Mesh, make_plan

DURATION_S = 15.0
RATE_PER_S = 120.0
KILL_AT_S = 7.0
SEED = 20260402
SERVICES = {"mapdesk": 4, "licencehub": 3}
# Label, service and share of the traffic.
TRAFFIC_MIX = (
    ("lookup", "mapdesk", 0.6),
    ("urgent", "mapdesk", 0.15),
    ("booking", "licencehub", 0.25),
)


def plan_calls() -> list[PlannedCall]:
    """Return the calls of the demo: a Poisson process with a fixed seed."""
    rng = random.Random(SEED)
    times = itertools.takewhile(
        lambda at: at < DURATION_S,
        itertools.accumulate(rng.expovariate(RATE_PER_S) for _ in itertools.count()),
    )
    return [make_call(number, at, rng) for number, at in enumerate(times)]


def make_call(number: int, at_s: float, rng: random.Random) -> PlannedCall:
    label, service, _ = rng.choices(TRAFFIC_MIX, [share for _, _, share in TRAFFIC_MIX])[0]
    booking = label == "booking"
    return PlannedCall(
        at_s=at_s,
        request_id=f"demo-{number}",
        service=service,
        label=label,
        timeout_ms=1000,
        method="POST" if booking else "GET",
        urgent=label == "urgent",
        answer_bytes=rng.choice((256, 4096, 100_000)),
        body_bytes=300 if booking else 0,
        key=f"key-{number}" if booking and number % 2 else "",
        retries=3,
    )


async def show_progress(mesh: Mesh, started: float) -> None:
    """Print elapsed time and running nodes on one line, every half second."""
    while True:
        elapsed_s = time.monotonic() - started
        running = sum(node.process is not None and node.process.running for node in mesh.nodes)
        line = f"\r{elapsed_s:5.1f} s of {DURATION_S:.0f}: {running} of {len(mesh.nodes)} nodes run"
        print(line, end="", flush=True)
        await asyncio.sleep(0.5)


async def kill_first_instance(mesh: Mesh) -> None:
    """Kill a backend server and its node with SIGKILL."""
    await asyncio.sleep(KILL_AT_S)
    victim = mesh.nodes[0]
    print(f"\nkilling {victim.name} with its backend server")
    await victim.kill()


def print_table(tallies: dict[str, Tally]) -> None:
    """Print outcomes and latencies by class of calls."""
    columns = ("class", "calls", "completed", "not-run", "unknown", "p50 ms", "p99 ms", "worst ms")
    print(("{:<9}" + "{:>11}" * 7).format(*columns))
    for label, each in sorted(tallies.items()):
        counts = [each.outcomes[name] for name in (Outcome.NOT_RUN, Outcome.UNKNOWN)]
        times = [f"{each.latency_ms(percent):.1f}" for percent in (50, 99, 100)]
        row = [label or "all", each.calls, each.outcomes[Outcome.COMPLETED], *counts, *times]
        print(("{:<9}" + "{:>11}" * 7).format(*row))


def print_summary(results: list[CallResult], audit_result: Audit) -> int:
    """Print the summary line and return the exit status."""
    count = tally(results)[""].outcomes
    refused = count[Outcome.NOT_RUN] + count[Outcome.UNREACHABLE]
    unknown = count[Outcome.UNKNOWN] + count[Outcome.FAILED]
    lost_lookups = [
        result
        for result in results
        if result.call.idempotent and result.outcome in (Outcome.UNKNOWN, Outcome.FAILED)
    ]
    if audit_result.false_not_run or audit_result.unrun:
        print(f"false not-run: {audit_result.false_not_run}; never ran: {audit_result.unrun}")
    print(
        f"demo: {len(results)} requests, {count[Outcome.COMPLETED]} completed, "
        f"{refused} not-run, {unknown} unknown, {len(audit_result.wrong)} wrong, "
        f"{len(audit_result.duplicates)} duplicate"
    )
    return 0 if audit_result.is_clean and not lost_lookups else 1


async def run() -> int:
    with tempfile.TemporaryDirectory() as folder:
        async with Mesh(Path(folder), make_plan(SERVICES)) as mesh:
            print(f"starting {len(mesh.nodes)} nodes, their backend servers and an object store")
            await mesh.wait_until_ready()
            calls = plan_calls()
            callers = [node.callers for node in mesh.nodes]
            background_tasks = [
                asyncio.create_task(show_progress(mesh, time.monotonic())),
                asyncio.create_task(kill_first_instance(mesh)),
            ]
            results = await play(calls, dict.fromkeys(SERVICES, callers), seed=SEED)
            for task in background_tasks:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            print()
            audit_result = audit(results, [StandInReport("all", *mesh.executions(), {})])
    print_table(tally(results))
    return print_summary(results, audit_result)


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
