"""Log lines for dropped datagrams, bounded in number."""

import structlog

from marjoramtide.membership._packet_error import DropCode

log = structlog.get_logger()

INTERVAL_S = 10.0


class DropLog:
    """Writes at most one line for each code in ``INTERVAL_S`` seconds, with a count.

    Anyone who can reach the port can send garbage; a line for each would fill the log.
    """

    def __init__(self) -> None:
        self.last_logged_at: dict[DropCode, float] = {}
        self.suppressed: dict[DropCode, int] = {}

    def add(self, code: DropCode, address: str, message: str, now: float) -> None:
        """Count a drop, and write a line if one is due."""
        self.suppressed[code] = self.suppressed.get(code, 0) + 1
        if now - self.last_logged_at.get(code, -INTERVAL_S) < INTERVAL_S:
            return
        self.last_logged_at[code] = now
        log.warning(
            "datagram-dropped",
            code=code,
            step="membership.receive",
            peer=address,
            error=message,
            count=self.suppressed.pop(code),
        )
