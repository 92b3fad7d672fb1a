"""Restarting of a node's background tasks."""

from collections.abc import Awaitable, Callable

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

RESTART_DELAY_S = 1.0


async def supervise(
    name: str, run: Callable[[], Awaitable[None]], clock: Clock, metrics: Metrics
) -> None:
    """Run ``run`` until cancelled, and restart it after a delay if it returns or raises.

    Failure: an exception ends the health check task while the node continues, so a draining backend
    server gets new requests for as long as the process lives. A restart is safe because the
    components keep their state outside of these tasks. Exiting the process instead would be worse:
    what makes one node fail is likely to reach all nodes.
    """
    while True:
        try:
            await run()
            log.error("daemon.task_ended", code=ErrorCode.INTERNAL, step="daemon.run", task=name)
        except Exception:
            log.exception(
                "daemon.task_failed", code=ErrorCode.INTERNAL, step="daemon.run", task=name
            )
        metrics.count("daemon.task_restarts")
        await clock.sleep(RESTART_DELAY_S)
