"""The load report of a serving node about its backend server."""

import attrs

from marjoramtide.exchange._server_statement import ServerStatement

# The upper bits of a report's sequence number count the starts of the backend server that the node
# has seen. A node sends far fewer reports than this for each of them.
REPORTS_PER_START = 1 << 32


@attrs.frozen(slots=True)
class LoadReport:
    """The local load at one moment, sent with every response and rejection between nodes.

    ``service_time_ms`` is the smoothed execution time, 0 while unknown; ``success_rate`` is the
    share of recent executions that succeeded. ``sequence`` increases with each report of a node, so
    that a delayed report never replaces a newer one; ``incarnation`` is the part of it that
    increases when the backend server is replaced by a newly started one. ``accepts`` is false while
    the server is starting or draining.

    ``slowdown`` is the factor by which execution currently takes longer than without interference.
    It stays the same for ``holds_ms`` (negative if unknown), may then change every ``period_ms``,
    and has the mean ``usual_slowdown``. If a backend server reports these, ``service_time_ms`` is
    the time without interference. ``statement`` is the server's own statement about the load that
    it accepts, ``None`` if it makes none.
    """

    in_use: int
    limit: int
    queued_urgent: int = 0
    queued_routine: int = 0
    service_time_ms: float = 0.0
    success_rate: float = 1.0
    accepts: bool = True
    uptime_s: float = 1e9
    sequence: int = 0
    slowdown: float = 1.0
    holds_ms: float = -1.0
    period_ms: float = 0.0
    usual_slowdown: float = 1.0
    statement: ServerStatement | None = None

    @property
    def incarnation(self) -> int:
        """Return the number of the backend server's start, counted by its node from 0.

        It is part of the sequence and not a field of its own, so that a node of a version without
        it can still read the report and treats it as newer than those of earlier starts.
        """
        return self.sequence // REPORTS_PER_START

    @property
    def load(self) -> float:
        """Return the running and queued requests as a multiple of the limit."""
        return (self.in_use + self.queued_urgent + self.queued_routine) / max(1, self.limit)


def first_sequence(incarnation: int) -> int:
    """Return the sequence number of the first report after a start of the backend server."""
    return incarnation * REPORTS_PER_START + 1
