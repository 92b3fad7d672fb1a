"""Plays a plan from several processes, where one can't keep pace."""

import asyncio
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from bench.load._open_loop import play
from bench.load._planned_call import PlannedCall
from bench.load._result import CallResult

START_UP_S = 1.0  # what a fresh worker needs before it can send


def work(
    calls: Sequence[PlannedCall], entries: dict[str, Sequence[str]], seed: int, start: float
) -> list[CallResult]:
    """Run in a worker: play its part of the plan."""
    return asyncio.run(play(calls, entries, seed=seed, start=start))


async def play_in_workers(
    calls: Sequence[PlannedCall],
    entries: dict[str, Sequence[str]],
    *,
    workers: int,
    seed: int = 1,
    start: float | None = None,
) -> list[CallResult]:
    """Deal the calls to ``workers`` processes and gather the results.

    All workers count from one ``start``, a time of ``time.monotonic``, which on one machine is the
    same clock in every process.
    """
    begin = time.monotonic() + START_UP_S if start is None else start
    loop = asyncio.get_running_loop()
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        parts = [
            loop.run_in_executor(pool, work, calls[n::workers], entries, seed + n, begin)
            for n in range(workers)
        ]
        return [result for part in await asyncio.gather(*parts) for result in part]
