"""Runs one test of a mesh whose node processes are all suspended by a signal."""

import asyncio
import re
from collections import Counter
from pathlib import Path

from bench.load import Outcome, PlannedCall, play
from bench.stops._stop_plan import StopPlan
from bench.stops._stop_tally import StopTally
from standins.mesh import Mesh, make_plan

SERVICE = "mapdesk"
TIMEOUT_MS = 2000
REASON = re.compile(r'details="([^"]*)"|error=([\w-]+)')


async def suspend_all(mesh: Mesh, plan: StopPlan) -> None:
    """Suspend all nodes at the planned time, and resume them."""
    processes = [node.process for node in mesh.nodes if node.process is not None]
    await asyncio.sleep(plan.before_s - 1.0)
    if plan.store:
        await mesh.store_json("POST", "/faults", plan.store)
    await asyncio.sleep(1.0)
    for process in processes:
        process.freeze()
    await asyncio.sleep(plan.stop_s)
    for process in processes:
        process.thaw()


async def run_stop_test(plan: StopPlan, folder: Path) -> StopTally:
    """Run one plan; ``folder`` keeps the logs of the processes."""
    seconds = plan.before_s + plan.stop_s + plan.after_s
    calls = [
        PlannedCall(number / plan.per_s, f"lookup-{number}", SERVICE, "lookup", TIMEOUT_MS)
        for number in range(round(plan.per_s * seconds))
    ]
    async with Mesh(folder, make_plan({SERVICE: plan.nodes})) as mesh:
        await mesh.ready()
        suspension = asyncio.create_task(suspend_all(mesh, plan))
        entries = {SERVICE: [node.callers for node in mesh.nodes]}
        results = await play(calls, entries, seed=plan.seed)
        await suspension
    measured = [result for result in results if result.call.at_s >= plan.before_s]
    failed = [result for result in measured if result.outcome is not Outcome.COMPLETED]
    refused = Counter(
        f"{each.outcome} {error_code(each.reason)}" for one in failed for each in one.attempts
    )
    resumed_at = plan.before_s + plan.stop_s
    last = max(
        (result.call.at_s + result.latency_ms / 1000 for result in failed), default=resumed_at
    )
    return StopTally(
        len(measured), len(measured) - len(failed), refused, max(0.0, last - resumed_at)
    )


def error_code(status: str) -> str:
    """Return the error code in the header of a refusal."""
    match = REASON.search(status)
    return (match[1] or match[2]) if match else status
