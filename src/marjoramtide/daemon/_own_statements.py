"""What the backend server beside a node says that it takes."""

from collections.abc import Callable

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import ServerStatement
from marjoramtide.policy import StatementTracker
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()


class OwnStatements:
    """Follows the statements of one start of a server after the other, and logs each change.

    ``changed`` is called when what holds has changed.
    """

    def __init__(self, clock: Clock, metrics: Metrics, changed: Callable[[], None]) -> None:
        self.clock = clock
        self.metrics = metrics
        self.changed = changed
        self.said = StatementTracker()

    @property
    def statement(self) -> ServerStatement:
        """Return what the server says now, for operators."""
        return self.said.statement or ServerStatement(self.said.instance)

    def begin(self, instance: str) -> None:
        """Go on with another start, which owes nothing of what the former one said."""
        self.said = StatementTracker(instance)

    def answer(self, said: ServerStatement, malformed: tuple[str, ...], asked_at: float) -> None:
        """Take in what the answer to a request says, which was sent at ``asked_at``."""
        self._note_malformed(malformed)
        self._take(lambda now: self.said.record_response(said, asked_at, now))

    def health(self, said: ServerStatement, malformed: tuple[str, ...], asked_at: float) -> None:
        """Take in what an answer of its health says."""
        self._note_malformed(malformed)
        self._take(lambda now: self.said.record_health(said, asked_at, now))

    def told(self, said: ServerStatement) -> None:
        """Take in what another node has heard of this start."""
        self._take(lambda now: self.said.record_peer_report(said, now), by_node=True)

    def _take(self, take: Callable[[float], None], *, by_node: bool = False) -> None:
        rate, leaving = self.said.rate_per_s, self.said.leaving
        take(self.clock.monotonic())
        if (rate, leaving) == (self.said.rate_per_s, self.said.leaving):
            return
        if rate != self.said.rate_per_s:
            log.info(
                "serving.rate_named" if self.said.rate_per_s is not None else "serving.rate_ended",
                instance=self.said.instance,
                rate_per_s=self.said.rate_per_s,
                before=rate,
                by_node=by_node,
            )
        if leaving != self.said.leaving:
            log.info(
                "serving.leaving" if self.said.leaving else "serving.leaving_ended",
                instance=self.said.instance,
                by_node=by_node,
            )
        self.changed()

    def _note_malformed(self, malformed: tuple[str, ...]) -> None:
        for each in malformed:
            self.metrics.count("serving.statements_malformed")
            log.warning(
                "serving.statement_malformed",
                code=ErrorCode.BACKEND_FAILED,
                step="serving.read",
                instance=self.said.instance,
                reason=each,
            )
