"""What libraries write to the standard library's log, as our JSON lines."""

import logging

import structlog

from marjoramtide.errors import ErrorCode

log = structlog.get_logger()


class StandardLog(logging.Handler):
    """Hands records on, so that every line of the node's output is JSON.

    Without it asyncio's "Task exception was never retrieved" comes as a plain traceback, which
    breaks whoever parses the lines.
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
