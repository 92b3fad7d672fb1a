"""Runs one trace under one policy."""

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.load import audit, play_in_workers
from bench.replay._arrivals import arrivals
from bench.replay._fleet import Fleet
from bench.replay._run_result import RunResult
from bench.replay._timeline import Timeline
from bench.replay._trace import Trace

WORKERS = 3
START_DELAY_S = 1.5
SETTLE_S = 0.5  # so that a request which runs after its caller was told "not run" is counted


async def run_trace(
    trace: Trace, policy: str, *, changes: dict[str, Any], logs: Path | None = None
) -> RunResult:
    """Start the site, replay the trace and return the results.

    ``changes`` replaces values of the settings' root branch. The processes' logs go to a folder
    under ``logs``, or are deleted if ``logs`` is ``None``.
    """
    if logs is None:
        with tempfile.TemporaryDirectory() as temporary_folder:
            return await run_in_folder(trace, policy, changes, Path(temporary_folder))
    folder = logs / trace.name / policy
    folder.mkdir(parents=True, exist_ok=True)
    return await run_in_folder(trace, policy, changes, folder)


async def run_in_folder(
    trace: Trace, policy: str, changes: dict[str, Any], folder: Path
) -> RunResult:
    calls = arrivals(trace)
    async with Fleet(trace.site, policy, folder, trace.seed, changes) as fleet:
        cpu_before_s, measured_since = fleet.node_cpu_s(), time.monotonic()
        start = time.monotonic() + START_DELAY_S
        timeline = asyncio.create_task(Timeline(trace.events, fleet).run(start))
        results = await play_in_workers(
            calls, fleet.caller_addresses(), workers=WORKERS, seed=trace.seed, start=start
        )
        await timeline
        await asyncio.sleep(SETTLE_S)
        reports = await fleet.reports()
        return RunResult(
            trace=trace,
            policy=policy,
            results=results,
            audit=audit(results, reports),
            reports=reports,
            services={report.address: fleet.service_at(report.address) for report in reports},
            node_cpu_s=fleet.node_cpu_s() - cpu_before_s,
            measured_s=time.monotonic() - measured_since,
        )
