"""What a serving node knows of its own backend server."""

import attrs

from marjoramtide.exchange._server_statement import ServerStatement

# The upper bits of a report's sequence count the starts of the backend server that the node has
# seen; a node makes far fewer reports than this for each of them.
REPORTS_A_START = 1 << 32


@attrs.frozen(slots=True)
class LoadReport:
    """Exact local knowledge at one moment, carried on every answer and rejection between nodes.

    ``service_time_ms`` is the smoothed time of executions, 0 while unknown; ``success_rate`` is the
    share of recent executions that succeeded. ``sequence`` grows with each report of a node, so
    that a late one never replaces a newer one; ``incarnation`` is the part of it that grows when
    another start takes the place of the backend server. ``accepts`` is false while starting or
    draining.

    ``slowdown`` is how many times longer work takes there now than undisturbed, and stays so for
    ``holds_ms``, negative where that isn't known; after that it may change every ``period_ms``,
    and is ``usual_slowdown`` on the mean. Where a backend server tells that, ``service_time_ms`` is
    the time of undisturbed work. ``statement`` is what the server says that it takes, ``None``
    where it asks for nothing.
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
        """Return which start of the backend server this is of, counted by its node from 0.

        Part of the sequence, and not a field of its own, so that a node that knows nothing of it
        still reads the report and takes it for newer than those of former starts.
        """
        return self.sequence // REPORTS_A_START

    @property
    def load(self) -> float:
        """Return what runs and waits, as a multiple of the limit."""
        return (self.in_use + self.queued_urgent + self.queued_routine) / max(1, self.limit)


def first_sequence(incarnation: int) -> int:
    """Return the sequence of the first report of a start of the backend server."""
    return incarnation * REPORTS_A_START + 1
