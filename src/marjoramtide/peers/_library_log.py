"""What the WebSocket library says of broken connections, told in our own log."""

import logging

import structlog

from marjoramtide.errors import ErrorCode

log = structlog.get_logger()

HANDSHAKE_FAILED = "opening handshake failed"


class LibraryLog(logging.Handler):
    """Turns the library's error lines into one JSON line with a code."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        reason = f"{type(error).__name__}: {error}" if error else record.getMessage()
        if record.getMessage() == HANDSHAKE_FAILED:
            log.warning(
                "peers.refused",
                code=ErrorCode.BAD_FRAME,
                step="peers.accept",
                peer=peer_of(record),
                reason=reason[:200],
            )
            return
        log.error(
            "peers.failed",
            code=ErrorCode.INTERNAL,
            step="peers.session",
            peer=peer_of(record),
            reason=reason,
            exc_info=record.exc_info,
        )


def peer_of(record: logging.LogRecord) -> str:
    """Return the address at the other end, where it is known."""
    address = getattr(getattr(record, "websocket", None), "remote_address", None)
    return "{}:{}".format(*address[:2]) if address else ""


def make_logger() -> logging.Logger:
    """Return the logger to hand to the library."""
    logger = logging.getLogger("marjoramtide.peers.websockets")
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    if not logger.handlers:
        logger.addHandler(LibraryLog())
    return logger
