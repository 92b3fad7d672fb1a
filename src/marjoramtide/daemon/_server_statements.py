"""The statements of the local backend server: its rate limit and whether it is leaving."""

from collections.abc import Callable

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import ServerStatement
from marjoramtide.policy import StatementTracker
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()


class ServerStatements:
    """Tracks the statements of the server's current incarnation, and logs each change.

    ``on_change`` is called when the rate limit or the leaving state has changed.
    """

    def __init__(self, clock: Clock, metrics: Metrics, on_change: Callable[[], None]) -> None:
        self.clock = clock
        self.metrics = metrics
        self.on_change = on_change
        self.tracker = StatementTracker()

    @property
    def statement(self) -> ServerStatement:
        """Return the statement in force, for operators."""
        return self.tracker.statement or ServerStatement(self.tracker.instance)

    def reset(self, instance: str) -> None:
        """Discard the statements of the previous incarnation."""
        self.tracker = StatementTracker(instance)

    def record_response(
        self, statement: ServerStatement, malformed: tuple[str, ...], asked_at: float
    ) -> None:
        """Record the statement in a response to a request that was sent at ``asked_at``."""
        self._report_malformed(malformed)
        self._update(lambda now: self.tracker.record_response(statement, asked_at, now))

    def record_health(
        self, statement: ServerStatement, malformed: tuple[str, ...], asked_at: float
    ) -> None:
        """Record the statement in a health check response."""
        self._report_malformed(malformed)
        self._update(lambda now: self.tracker.record_health(statement, asked_at, now))

    def record_peer_report(self, statement: ServerStatement) -> None:
        """Record a statement of this incarnation that another node reported."""
        self._update(lambda now: self.tracker.record_peer_report(statement, now), by_node=True)

    def _update(self, record: Callable[[float], None], *, by_node: bool = False) -> None:
        rate_before, leaving_before = self.tracker.rate_per_s, self.tracker.leaving
        record(self.clock.monotonic())
        if (rate_before, leaving_before) == (self.tracker.rate_per_s, self.tracker.leaving):
            return
        if rate_before != self.tracker.rate_per_s:
            log.info(
                (
                    "serving.rate_named"
                    if self.tracker.rate_per_s is not None
                    else "serving.rate_ended"
                ),
                instance=self.tracker.instance,
                rate_per_s=self.tracker.rate_per_s,
                before=rate_before,
                by_node=by_node,
            )
        if leaving_before != self.tracker.leaving:
            log.info(
                "serving.leaving" if self.tracker.leaving else "serving.leaving_ended",
                instance=self.tracker.instance,
                by_node=by_node,
            )
        self.on_change()

    def _report_malformed(self, malformed: tuple[str, ...]) -> None:
        for problem in malformed:
            self.metrics.count("serving.statements_malformed")
            log.warning(
                "serving.statement_malformed",
                code=ErrorCode.BACKEND_FAILED,
                step="serving.read",
                instance=self.tracker.instance,
                reason=problem,
            )
