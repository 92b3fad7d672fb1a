"""Rate-limited logging of dropped datagrams."""

import structlog

from marjoramtide.membership._packet_error import DropCode

log = structlog.get_logger()

LOG_INTERVAL_S = 10.0


class DropLog:
    """Logs at most one line per code every ``LOG_INTERVAL_S`` seconds, with a count.

    Anyone who can reach the port can send garbage; a line per datagram would flood the log.
    """

    def __init__(self) -> None:
        self.last_logged_at: dict[DropCode, float] = {}
        self.unlogged: dict[DropCode, int] = {}

    def add(self, code: DropCode, address: str, message: str, now: float) -> None:
        """Count a dropped datagram, and log a line unless one was logged recently."""
        self.unlogged[code] = self.unlogged.get(code, 0) + 1
        if now - self.last_logged_at.get(code, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self.last_logged_at[code] = now
        log.warning(
            "datagram-dropped",
            code=code,
            step="membership.receive",
            peer=address,
            error=message,
            count=self.unlogged.pop(code),
        )
