"""The state of the local backend server as its node sees it."""

from collections.abc import Callable

import structlog

from marjoramtide.clock import Clock, FreezeDetector
from marjoramtide.daemon._server_statements import ServerStatements
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

# The backend server waits 1 s for the acknowledgement of its heartbeat.
IDENTITY_TIMEOUT_S = 0.3


class BackendServerMonitor:
    """Monitors the backend server by its heartbeats, health checks and responses.

    ``on_readiness_changed`` is called when the server may have become ready or not ready for new
    requests, ``on_slots_changed`` when the number of its slots has changed.
    """

    def __init__(
        self,
        serving: ServingService,
        transport: HttpTransport,
        interface: Interface,
        clock: Clock,
        freeze_detector: FreezeDetector,
        metrics: Metrics,
        on_readiness_changed: Callable[[], None],
        on_slots_changed: Callable[[], None],
    ) -> None:
        self.serving = serving
        self.transport = transport
        self.protocol = interface.backend
        self.clock = clock
        self.freeze_detector = freeze_detector
        self.on_readiness_changed = on_readiness_changed
        self.on_slots_changed = on_slots_changed
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
        transport.on_response = self.record_response
        transport.on_connection_refused = serving.crash_monitor.connection_refused
        self.registrar: Registrar | None = None
        if interface.registration_app is not None:
            self.registrar = Registrar(
                serving.service, self.read_identity, self.registration_changed
            )
        self.state: BackendState | None = None
        # The incarnation that registered last, kept after it has left.
        self.last_registration: Registration | None = None
        # What the server at the address stated of itself when it was last asked for its identity.
        self.identified: HealthCheckResult | None = None
        self.slots: int | None = None
        self.statements = ServerStatements(clock, metrics, self.statements_changed)
        serving.statement_listener = self.statements.record_peer_report
        self.cold_start_s = 0.0
        self.has_reported_cold_start = False

    @property
    def is_state_known(self) -> bool:
        """Tell whether the state of the server is known."""
        return self.state is not None

    @property
    def is_ready(self) -> bool:
        """Tell whether the server is ready for new requests by all its signals."""
        is_registered = self.registrar is None or self.registrar.is_ready
        is_healthy = self.state is BackendState.READY and is_registered
        return is_healthy and not self.statements.tracker.leaving

    @property
    def refused_registrations(self) -> int:
        """Return how many heartbeats and departures were rejected as malformed."""
        return self.registrar.rejected_count if self.registrar is not None else 0

    def configure(self, settings: RouteSettings) -> None:
        """Apply the settings of the server's service."""
        self.transport.max_connections = settings.connections
        self.cold_start_s = settings.cold_start_s
        self.health_checker.configure(settings)

    def state_changed(self, state: BackendState) -> None:
        self.state = state
        self.on_readiness_changed()

    async def read_identity(self) -> str:
        """Read the instance from the health endpoint; empty if it can't be read or names none."""
        try:
            response = await self.transport.read(self.health_checker.path, IDENTITY_TIMEOUT_S)
        except (MarjoramtideError, TimeoutError) as error:
            log.info("daemon.identity_unknown", reason=str(error), step="daemon.identity")
            return ""
        self.identified = self.protocol.read_health(response)
        return self.identified.instance

    def record_health_check(self, result: HealthCheckResult, asked_at: float) -> None:
        """Process the result of a health check, also of a failed one."""
        # A check that timed out because this process was frozen says nothing about the server.
        is_own_freeze = not result.is_reachable and self.freeze_detector.was_frozen(
            self.clock.monotonic()
        )
        if self._is_current_instance(result.instance) and not is_own_freeze:
            self.serving.crash_monitor.note_health_check(
                is_reachable=result.is_reachable, asked_at=asked_at
            )
        if result.load is not None:
            self.serving.note_load(result.load)
            if self.registrar is not None and result.state is BackendState.READY:
                self.registrar.note_discovered(result.instance, result.load.slots)
        # After the discovery above, since this may be the first response of a new incarnation.
        if result.cold_remaining_s is not None and self._is_current_instance(result.instance):
            self.has_reported_cold_start = True
            self.serving.note_cold_start(result.cold_remaining_s)
        if result.is_reachable and self._is_current_instance(result.instance):
            self.statements.record_health(result.statement, result.malformed, asked_at)

    def _is_current_instance(self, instance: str) -> bool:
        return instance in ("", self.transport.instance)

    def record_response(self, metadata: ResponseMetadata, asked_at: float) -> None:
        """Process the metadata of a response to a request that was sent at ``asked_at``."""
        if metadata.load is not None:
            self.serving.note_load(metadata.load)
        if metadata.verdict is ResponseVerdict.MISDIRECTED and self.registrar is not None:
            self.registrar.note_misdirected(metadata.instance)
        elif self._is_current_instance(metadata.instance):
            self.statements.record_response(metadata.statement, metadata.malformed, asked_at)

    def statements_changed(self) -> None:
        """Apply the rate limit and the leaving state that the server has stated.

        Failure: a server states in its responses that it is leaving, while its heartbeats and
        health checks still report ready, and it gets requests until it is gone. Statements in
        responses take precedence.
        """
        tracker = self.statements.tracker
        self.serving.note_statement(tracker.statement, tracker.since)
        self.on_readiness_changed()
        if tracker.leaving:
            self.serving.reject_queued()

    def registration_changed(self) -> None:
        """Apply a changed registration of the server."""
        assert self.registrar is not None
        registration = self.registrar.current
        self.transport.instance = registration.instance if registration is not None else ""
        if registration is not None:
            self._apply_registration(registration)
        elif self.registrar.has_departed:
            self.serving.crash_monitor.detector.server_leaving()
        slots = registration.slots if registration is not None else None
        if slots != self.slots:
            self.slots = slots
            self.on_slots_changed()
        self.on_readiness_changed()
        if not self.registrar.is_ready:
            self.serving.reject_queued()

    def _apply_registration(self, registration: Registration) -> None:
        is_same = self.last_registration is not None and registration.is_same_incarnation(
            self.last_registration
        )
        if self.last_registration is not None and not is_same:
            self.serving.server_replaced()
        if not is_same:
            self.statements.reset(registration.instance)
            self.serving.note_statement(None, 0.0)
        identified, self.identified = self.identified, None
        if not is_same and identified and identified.instance == registration.instance:
            # Until the next check, its state would be that of the process that it has replaced.
            self.health_checker.note_state(identified.state)
        self.last_registration = registration
        # The health endpoint is more recent than a heartbeat, except for a new incarnation.
        if not (self.has_reported_cold_start and is_same):
            left_s = registration.cold_remaining_s
            # An incarnation that has reported nothing is assumed to have started just now.
            self.serving.note_cold_start(self.cold_start_s if left_s is None else left_s)
