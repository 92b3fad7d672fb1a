"""What a node knows of the backend server beside it."""

from collections.abc import Callable

import structlog

from marjoramtide.clock import Clock, FreezeDetector
from marjoramtide.daemon._own_statements import OwnStatements
from marjoramtide.errors import MarjoramtideError
from marjoramtide.interface import Interface
from marjoramtide.serving import (
    BackendState,
    HealthChecker,
    HealthCheckResult,
    HttpTransport,
    Registrar,
    Registration,
    ResponseMetadata,
    ResponseVerdict,
    ServingService,
)
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

# The backend server waits a second for the acknowledgement of its heartbeat.
IDENTITY_TIMEOUT_S = 0.3


class OwnServer:
    """Follows the backend server by its heartbeats, its health and its answers.

    ``changed`` is called when it may take new work or may no longer, ``resized`` when the number of
    its slots has changed.
    """

    def __init__(
        self,
        serving: ServingService,
        transport: HttpTransport,
        interface: Interface,
        clock: Clock,
        freeze_detector: FreezeDetector,
        metrics: Metrics,
        changed: Callable[[], None],
        resized: Callable[[], None],
    ) -> None:
        self.serving = serving
        self.transport = transport
        self.protocol = interface.backend
        self.clock = clock
        self.freeze_detector = freeze_detector
        self.changed = changed
        self.resized = resized
        self.health_checker = HealthChecker(
            transport,
            clock,
            metrics,
            self.state_changed,
            interface.backend,
            self.record_health_check,
        )
        self.health_checker.preferred_check_at = serving.preferred_check_at
        serving.health_checker = self.health_checker
        transport.on_response = self.note_reply
        transport.on_connection_refused = serving.crash_monitor.connection_refused
        self.registrar: Registrar | None = None
        if interface.registration_app is not None:
            self.registrar = Registrar(
                serving.service, self.ask_identity, self.registration_changed
            )
        self.state: BackendState | None = None
        # The last start that was registered, also once it has left.
        self.served: Registration | None = None
        self.slots: int | None = None
        self.statements = OwnStatements(clock, metrics, self.statements_changed)
        serving.statement_listener = self.statements.told
        self.cold_start_s = 0.0
        self.cold_is_told = False

    @property
    def is_known(self) -> bool:
        """Tell whether anything was learned of the server."""
        return self.state is not None

    @property
    def is_ready(self) -> bool:
        """Tell whether the server says that it takes new work."""
        is_registered = self.registrar is None or self.registrar.is_ready
        is_able = self.state is BackendState.READY and is_registered
        return is_able and not self.statements.said.leaving

    @property
    def refused_registrations(self) -> int:
        """Return how many heartbeats and departures could not be read."""
        return self.registrar.rejected_count if self.registrar is not None else 0

    def configure(self, settings: RouteSettings) -> None:
        """Go on by these settings of the server's service."""
        self.transport.max_connections = settings.connections
        self.cold_start_s = settings.cold_start_s
        self.health_checker.configure(settings)

    def state_changed(self, state: BackendState) -> None:
        self.state = state
        self.changed()

    async def ask_identity(self) -> str:
        """Read from the server who it is; empty where it doesn't say."""
        try:
            answer = await self.transport.read(self.health_checker.path, IDENTITY_TIMEOUT_S)
        except (MarjoramtideError, TimeoutError) as error:
            log.info("daemon.identity_unknown", reason=str(error), step="daemon.identity")
            return ""
        return self.protocol.read_health(answer).instance

    def record_health_check(self, reading: HealthCheckResult, asked_at: float) -> None:
        """Take in what the server's health says, or that it says nothing."""
        # Given up because this process stood still, a look says nothing of the server.
        is_late = not reading.is_reachable and self.freeze_detector.was_frozen(
            self.clock.monotonic()
        )
        if self._is_of(reading.instance) and not is_late:
            self.serving.crash_monitor.note_health_check(
                is_reachable=reading.is_reachable, asked_at=asked_at
            )
        if reading.load is not None:
            self.serving.note_load(reading.load)
            if self.registrar is not None and reading.state is BackendState.READY:
                self.registrar.note_discovered(reading.instance, reading.load.slots)
        # After the server was found, since this may be the first word of its start.
        if reading.cold_remaining_s is not None and self._is_of(reading.instance):
            self.cold_is_told = True
            self.serving.note_cold_start(reading.cold_remaining_s)
        if reading.is_reachable and self._is_of(reading.instance):
            self.statements.health(reading.statement, reading.malformed, asked_at)

    def _is_of(self, instance: str) -> bool:
        return instance in ("", self.transport.instance)

    def note_reply(self, reading: ResponseMetadata, asked_at: float) -> None:
        """Take in what the answer to a request says besides, which was sent at ``asked_at``."""
        if reading.load is not None:
            self.serving.note_load(reading.load)
        if reading.verdict is ResponseVerdict.MISDIRECTED and self.registrar is not None:
            self.registrar.note_misdirected(reading.instance)
        elif self._is_of(reading.instance):
            self.statements.answer(reading.statement, reading.malformed, asked_at)

    def statements_changed(self) -> None:
        """Go on by what the server says that it takes.

        Failure: a server says in its answers that it leaves, while its heartbeats and its health go
        on to say that it is ready, and it gets work until it is gone. Its own answers count first.
        """
        said = self.statements.said
        self.serving.note_statement(said.statement, said.since)
        self.changed()
        if said.leaving:
            self.serving.reject_queued()

    def registration_changed(self) -> None:
        """Go on by what the server has told of itself."""
        assert self.registrar is not None
        current = self.registrar.current
        self.transport.instance = current.instance if current is not None else ""
        if current is not None:
            self._serve(current)
        elif self.registrar.has_departed:
            self.serving.crash_monitor.detector.server_leaving()
        slots = current.slots if current is not None else None
        if slots != self.slots:
            self.slots = slots
            self.resized()
        self.changed()
        if not self.registrar.is_ready:
            self.serving.reject_queued()

    def _serve(self, current: Registration) -> None:
        is_same = self.served is not None and current.is_same_incarnation(self.served)
        if self.served is not None and not is_same:
            self.serving.server_replaced()
        if not is_same:
            self.statements.begin(current.instance)
            self.serving.note_statement(None, 0.0)
        self.served = current
        # The health's word is newer than a heartbeat's, but for another start.
        if not (self.cold_is_told and is_same):
            left_s = current.cold_remaining_s
            # Of a start that has told nothing yet the worst is taken: that it has just begun.
            self.serving.note_cold_start(self.cold_start_s if left_s is None else left_s)
