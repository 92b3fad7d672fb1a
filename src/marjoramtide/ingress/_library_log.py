"""What the HTTP library says of callers' broken requests, told in our own log."""

import logging
from typing import Any

import structlog

from marjoramtide.errors import ErrorCode

log = structlog.get_logger()


class LibraryLog(logging.LoggerAdapter):  # type: ignore[type-arg]
    """Turns the library's error lines into one JSON line with a code."""

    def log(self, level: int, msg: object, *args: Any, **kwargs: Any) -> None:
        text = str(msg) % args if args else str(msg)
        if level < logging.ERROR:
            log.info("ingress.bad_http", code=ErrorCode.BAD_REQUEST, reason=text)
            return
        log.error("ingress.failed", code=ErrorCode.INTERNAL, reason=text, exc_info=True)
