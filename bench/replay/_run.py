"""One trace played under one policy."""

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.load import audit, play_in_workers
from bench.replay._arrivals import arrivals
from bench.replay._figures import Figures
from bench.replay._fleet import Fleet
from bench.replay._timeline import Timeline
from bench.replay._trace import Trace

WORKERS = 3
WORKERS_START_S = 1.5
SETTLE_S = 0.5  # a request that its caller was told is "not run", and runs after that, counts too


async def run_trace(
    trace: Trace, policy: str, *, changes: dict[str, Any], logs: Path | None = None
) -> Figures:
    """Start the site, play the trace, and return what was measured.

    ``changes`` replaces values of the settings' root branch. Logs of the processes go to a folder
    below ``logs``, or are dropped.
    """
    if logs is None:
        with tempfile.TemporaryDirectory() as dropped:
            return await run_in(trace, policy, changes, Path(dropped))
    folder = logs / trace.name / policy
    folder.mkdir(parents=True, exist_ok=True)
    return await run_in(trace, policy, changes, folder)


async def run_in(trace: Trace, policy: str, changes: dict[str, Any], folder: Path) -> Figures:
    calls = arrivals(trace)
    async with Fleet(trace.site, policy, folder, trace.seed, changes) as fleet:
        cpu_before_s, measured_from = fleet.node_cpu_s(), time.monotonic()
        start = time.monotonic() + WORKERS_START_S
        timeline = asyncio.create_task(Timeline(trace.events, fleet).run(start))
        results = await play_in_workers(
            calls, fleet.entries(), workers=WORKERS, seed=trace.seed, start=start
        )
        await timeline
        await asyncio.sleep(SETTLE_S)
        reports = await fleet.reports()
        return Figures(
            trace=trace,
            policy=policy,
            results=results,
            audit=audit(results, reports),
            reports=reports,
            services={report.address: fleet.service_at(report.address) for report in reports},
            node_cpu_s=fleet.node_cpu_s() - cpu_before_s,
            measured_s=time.monotonic() - measured_from,
        )
