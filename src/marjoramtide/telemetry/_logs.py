"""Structured logs: one JSON line for each event, on standard output."""

import asyncio
import logging
from typing import TextIO, cast

import structlog

from marjoramtide.telemetry._line_output import LineOutput
from marjoramtide.telemetry._log_limit import LogLimit
from marjoramtide.telemetry._standard_log import StandardLog

SUMMARY_S = 1.0
STANDARD_OUTPUT = 1

limit = LogLimit()
log_output = LineOutput(STANDARD_OUTPUT)


def configure_logs(level: str, **fields: str) -> None:
    """Write events of ``level`` and above, each with ``fields`` (the node's name and place)."""
    structlog.configure(
        processors=[
            limit,
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
    logging.basicConfig(handlers=[StandardLog()], level=logging.WARNING, force=True)


async def summarise_logs() -> None:
    """Tell once a second how many lines were held back, until cancelled and once more then."""
    log = structlog.get_logger()
    try:
        while True:
            await asyncio.sleep(SUMMARY_S)
            limit.summarise(log)
    finally:
        limit.summarise(log)
