"""One play of a mesh of real processes that are stopped by a signal, all at one moment."""

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


async def stop_all(mesh: Mesh, plan: StopPlan) -> None:
    """Stop all nodes when it is time, and let them go on."""
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


async def play_stop(plan: StopPlan, folder: Path) -> StopTally:
    """Play one plan; the processes' logs stay in ``folder``."""
    seconds = plan.before_s + plan.stop_s + plan.after_s
    calls = [
        PlannedCall(number / plan.per_s, f"lookup-{number}", SERVICE, "lookup", TIMEOUT_MS)
        for number in range(round(plan.per_s * seconds))
    ]
    async with Mesh(folder, make_plan({SERVICE: plan.nodes})) as mesh:
        await mesh.wait_until_ready()
        stopping = asyncio.create_task(stop_all(mesh, plan))
        entries = {SERVICE: [node.callers for node in mesh.nodes]}
        results = await play(calls, entries, seed=plan.seed)
        await stopping
    since = [result for result in results if result.call.at_s >= plan.before_s]
    bad = [result for result in since if result.outcome is not Outcome.COMPLETED]
    refused = Counter(
        f"{each.outcome} {reason_of(each.reason)}" for one in bad for each in one.attempts
    )
    ended_at = plan.before_s + plan.stop_s
    last = max((result.call.at_s + result.latency_ms / 1000 for result in bad), default=ended_at)
    return StopTally(len(since), len(since) - len(bad), refused, max(0.0, last - ended_at))


def reason_of(status: str) -> str:
    """Return the code of a refusal, as its header tells it."""
    found = REASON.search(status)
    return (found[1] or found[2]) if found else status
