"""Runs one test of a mesh of real processes, some of which crash."""

import asyncio
import random
import time
from collections.abc import Sequence
from pathlib import Path

import attrs

from bench.crashes._crash_plan import CrashPlan
from bench.crashes._crash_tally import CrashTally
from bench.load import CallResult, Outcome, PlannedCall, play
from standins.mesh import Mesh, MeshNode, make_plan

SERVICE = "mapdesk"
DEADLY, COMMON, OTHER = "deadly", "common", "other"
TIMEOUT_MS = 2000
# A node is killed only if it started a request for the common path within ``JUST_BEGUN_S``.
POLL_S = 0.01
JUST_BEGUN_S = 0.05


def planned_calls(plan: CrashPlan) -> list[PlannedCall]:
    """Return the calls of a test; all deadly calls have one path, and all common calls another."""
    calls = []
    for label, rate, first_s in (
        (DEADLY, plan.deadly_per_s, 1.0),
        (COMMON, plan.common_per_s, 0.0),
        (OTHER, plan.others_per_s, 0.0),
    ):
        for number in range(round(rate * (plan.seconds - first_s))):
            call = PlannedCall(
                at_s=first_s + number / rate,
                request_id=f"{label}-{number}",
                service=SERVICE,
                label=label,
                timeout_ms=TIMEOUT_MS,
                service_ms=plan.service_ms,
                retries=0 if label == DEADLY else 1,
            )
            # The length of the response makes the path of each other call unique.
            calls.append(attrs.evolve(call, answer_bytes=64 + number) if label == OTHER else call)
    return calls


async def kill_nodes(mesh: Mesh, plan: CrashPlan) -> None:
    """Kill a node every ``kill_every_s``, just after it started to serve the common path."""
    rng = random.Random(plan.seed)
    while True:
        await asyncio.sleep(plan.kill_every_s)
        node = await find_serving_node(mesh, rng)
        assert node.process is not None
        await node.process.kill()
        mesh.supervisors.append(asyncio.create_task(restart_later(node, plan.restart_after_s)))


async def find_serving_node(mesh: Mesh, rng: random.Random) -> MeshNode:
    """Return a node whose server has just started to serve the common path."""
    while True:
        earliest = time.time() - JUST_BEGUN_S
        candidates = [
            node
            for node in mesh.nodes
            if node.process is not None
            and node.process.running
            and any(
                at > earliest and request.startswith(COMMON) for at, request, _ in node.journal()
            )
        ]
        if candidates:
            return rng.choice(candidates)
        await asyncio.sleep(POLL_S)


async def restart_later(node: MeshNode, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await node.start_node()


def start_crashes(mesh: Mesh, plan: CrashPlan) -> None:
    """Start the crashes of a plan."""
    if plan.kill_every_s:
        mesh.supervisors.append(asyncio.create_task(kill_nodes(mesh, plan)))
    elif plan.crashes_nodes:
        mesh.kill_nodes_that_serve(f"{DEADLY}-", plan.restart_after_s, plan.crash_after_s)
    else:
        mesh.supervise_servers(plan.restart_after_s)


def share(results: Sequence[CallResult], label: str) -> float:
    """Return the completed share of the calls with a label; 1 if there are none."""
    own = [result for result in results if result.call.label == label]
    return sum(each.outcome is Outcome.COMPLETED for each in own) / len(own) if own else 1.0


def held_back(results: Sequence[CallResult]) -> int:
    """Return how many attempts of requests other than the deadly ones were held back."""
    return sum(
        "quarantined" in attempt.reason
        for result in results
        for attempt in result.attempts
        if result.call.label != DEADLY
    )


async def run_crash_test(plan: CrashPlan, folder: Path) -> CrashTally:
    """Run one plan; ``folder`` keeps the logs of the processes."""
    deadly = "" if plan.crashes_nodes or plan.kill_every_s else f"/{DEADLY}"
    plans = [attrs.evolve(each, deadly=deadly) for each in make_plan({SERVICE: plan.nodes})]
    async with Mesh(folder, plans) as mesh:
        await mesh.ready()
        start_crashes(mesh, plan)
        started_at = time.time()
        entries = {SERVICE: [node.callers for node in mesh.nodes]}
        results = await play(planned_calls(plan), entries, seed=plan.seed)
        rows = sorted(row for node in mesh.nodes for row in node.journal())
    crashed_at = [at - started_at for at, request, _ in rows if request.startswith(f"{DEADLY}-")]
    return CrashTally(crashed_at, share(results, COMMON), share(results, OTHER), held_back(results))
