"""Log records of libraries as JSON lines."""

import logging

import structlog

from marjoramtide.errors import ErrorCode

log = structlog.get_logger()


class StandardLogHandler(logging.Handler):
    """Forwards records of ``logging`` to structlog, so that every line of the output is JSON.

    Without it asyncio's "Task exception was never retrieved" is written as a plain traceback, which
    breaks programs that parse the log.
    """

    def emit(self, record: logging.LogRecord) -> None:
        log.log(
            record.levelno,
            "library.message",
            code=ErrorCode.INTERNAL,
            step=record.name,
            peer="",
            reason=record.getMessage(),
            exc_info=record.exc_info,
        )
