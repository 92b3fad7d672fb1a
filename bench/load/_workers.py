"""Sends planned calls from several processes, for rates that one process can't sustain."""

import asyncio
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from bench.load._open_loop import play
from bench.load._planned_call import PlannedCall
from bench.load._result import CallResult

WORKER_START_UP_S = 1.0  # start-up time of a worker process


def play_part(
    calls: Sequence[PlannedCall],
    addresses_by_service: dict[str, Sequence[str]],
    seed: int,
    start: float,
) -> list[CallResult]:
    """Play one worker's share of the calls; runs in the worker process."""
    return asyncio.run(play(calls, addresses_by_service, seed=seed, start=start))


async def play_in_workers(
    calls: Sequence[PlannedCall],
    addresses_by_service: dict[str, Sequence[str]],
    *,
    workers: int,
    seed: int = 1,
    start: float | None = None,
) -> list[CallResult]:
    """Distribute the calls over ``workers`` processes and gather the results.

    All workers share one ``start``, a time of ``time.monotonic``, which is the same clock in all
    processes of a machine.
    """
    start_at = time.monotonic() + WORKER_START_UP_S if start is None else start
    loop = asyncio.get_running_loop()
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        parts = [
            loop.run_in_executor(
                pool, play_part, calls[n::workers], addresses_by_service, seed + n, start_at
            )
            for n in range(workers)
        ]
        return [result for part in await asyncio.gather(*parts) for result in part]
