"""Structured logging: one JSON line per event on standard output."""

import asyncio
import logging
from typing import TextIO, cast

import structlog

from marjoramtide.telemetry._line_output import NonBlockingOutput
from marjoramtide.telemetry._log_limit import LogRateLimiter
from marjoramtide.telemetry._standard_log import StandardLogHandler

SUMMARY_INTERVAL_S = 1.0
STDOUT_DESCRIPTOR = 1

rate_limiter = LogRateLimiter()
log_output = NonBlockingOutput(STDOUT_DESCRIPTOR)


def configure_logs(level: str, **fields: str) -> None:
    """Log events of ``level`` and above, each with ``fields`` (the node's name and data centre)."""
    structlog.configure(
        processors=[
            rate_limiter,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, log_output)),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fields)
    logging.basicConfig(handlers=[StandardLogHandler()], level=logging.WARNING, force=True)


async def report_suppressed_lines() -> None:
    """Log the counts of suppressed lines once a second until cancelled, and a last time then."""
    log = structlog.get_logger()
    try:
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            rate_limiter.summarise(log)
    finally:
        rate_limiter.summarise(log)
