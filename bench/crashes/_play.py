"""One play of a mesh of real processes, some of which end."""

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
# A node that is to be killed must have begun the common path within so many seconds.
LOOK_S = 0.01
JUST_BEGUN_S = 0.05


def planned_calls(plan: CrashPlan) -> list[PlannedCall]:
    """Return the calls of a play; a deadly one has the same path each time, as common ones do."""
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
            # Each of the others is asked for once: its path is its own by the length of its answer.
            calls.append(attrs.evolve(call, answer_bytes=64 + number) if label == OTHER else call)
    return calls


async def kill_nodes(mesh: Mesh, plan: CrashPlan) -> None:
    """Kill a node now and then, just after it has begun to serve the common path."""
    drawn = random.Random(plan.seed)
    while True:
        await asyncio.sleep(plan.kill_every_s)
        node = await just_begun(mesh, drawn)
        assert node.process is not None
        await node.process.kill()
        mesh.supervisors.append(asyncio.create_task(back_later(node, plan.back_after_s)))


async def just_begun(mesh: Mesh, drawn: random.Random) -> MeshNode:
    """Return a node beside a server that has begun the common path just now."""
    while True:
        since = time.time() - JUST_BEGUN_S
        able = [
            node
            for node in mesh.nodes
            if node.process is not None
            and node.process.running
            and any(at > since and request.startswith(COMMON) for at, request, _ in node.journal())
        ]
        if able:
            return drawn.choice(able)
        await asyncio.sleep(LOOK_S)


async def back_later(node: MeshNode, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await node.start_node()


def begin_ends(mesh: Mesh, plan: CrashPlan) -> None:
    """Begin to end what is to end in this play."""
    if plan.kill_every_s:
        mesh.supervisors.append(asyncio.create_task(kill_nodes(mesh, plan)))
    elif plan.ends_nodes:
        mesh.kill_nodes_serving(f"{DEADLY}-", plan.back_after_s, plan.dies_after_s)
    else:
        mesh.supervise_servers(plan.back_after_s)


def share(results: Sequence[CallResult], label: str) -> float:
    """Return the share of the calls of a label that completed; 1 where there are none."""
    own = [result for result in results if result.call.label == label]
    return sum(each.outcome is Outcome.COMPLETED for each in own) / len(own) if own else 1.0


def held_back(results: Sequence[CallResult]) -> int:
    """Return how many attempts of requests that end nothing were refused as held back."""
    return sum(
        "quarantined" in attempt.reason
        for result in results
        for attempt in result.attempts
        if result.call.label != DEADLY
    )


async def play_crashes(plan: CrashPlan, folder: Path) -> CrashTally:
    """Play one plan; the processes' logs stay in ``folder``."""
    deadly = "" if plan.ends_nodes or plan.kill_every_s else f"/{DEADLY}"
    plans = [attrs.evolve(each, deadly=deadly) for each in make_plan({SERVICE: plan.nodes})]
    async with Mesh(folder, plans) as mesh:
        await mesh.wait_until_ready()
        begin_ends(mesh, plan)
        began = time.time()
        entries = {SERVICE: [node.callers for node in mesh.nodes]}
        results = await play(planned_calls(plan), entries, seed=plan.seed)
        rows = sorted(row for node in mesh.nodes for row in node.journal())
    ends = [at - began for at, request, _ in rows if request.startswith(f"{DEADLY}-")]
    return CrashTally(ends, share(results, COMMON), share(results, OTHER), held_back(results))
