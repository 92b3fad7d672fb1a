"""Keeping a node's long-lived tasks alive."""

from collections.abc import Awaitable, Callable

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

RESTART_PAUSE_S = 1.0


async def keep_running(
    name: str, work: Callable[[], Awaitable[None]], clock: Clock, metrics: Metrics
) -> None:
    """Run ``work`` until cancelled, again after a pause where it ends.

    Failure: a fault ends the task that reads the backend server's health, and the node goes on
    without it: the server drains, and gets new work for as long as the process lives. Started
    again, since the parts keep their state outside of these tasks. Ending the process would be no
    better: what one node trips over is likely to reach all of them.
    """
    while True:
        try:
            await work()
            log.error("daemon.task_ended", code=ErrorCode.INTERNAL, step="daemon.run", task=name)
        except Exception:
            log.exception(
                "daemon.task_failed", code=ErrorCode.INTERNAL, step="daemon.run", task=name
            )
        metrics.count("daemon.task_restarts")
        await clock.sleep(RESTART_PAUSE_S)
