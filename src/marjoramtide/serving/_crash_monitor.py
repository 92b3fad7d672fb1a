"""Reports crashes of the backend server and the requests suspected of causing them."""

import asyncio

import structlog

from marjoramtide.clock import Clock
from marjoramtide.serving._crash_detector import CrashDetector
from marjoramtide.serving._execution import Execution
from marjoramtide.serving._in_flight_request import InFlightRequest
from marjoramtide.serving._request_guard import RequestGuard
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

# Suspects that are logged individually; all of them are counted.
MAX_LOGGED_SUSPECTS = 24


class CrashMonitor:
    """Feeds events to the crash detector, and reports crashes to the log and the guard."""

    def __init__(self, service: str, guard: RequestGuard, clock: Clock, metrics: Metrics) -> None:
        self.service = service
        self.guard = guard
        self.clock = clock
        self.metrics = metrics
        self.detector = CrashDetector()
        self.timer: asyncio.TimerHandle | None = None

    def request_started(self, execution: Execution) -> None:
        """Record that the backend server may run a request from now on."""
        request = execution.request
        now = self.clock.monotonic()
        in_flight = InFlightRequest(execution.fingerprint, request.request_id, request.label, now)
        self.detector.request_started(execution.ticket, in_flight)

    def request_ended(self, execution: Execution, *, cancelled: bool) -> None:
        """Record how a request ended; further calls for the same request have no effect."""
        if execution.is_answered:
            self.detector.request_completed(execution.ticket, self.clock.monotonic())
            return
        now = self.clock.monotonic()
        by_server = not cancelled and now < execution.deadline
        lost = self.detector.request_lost(execution.ticket, by_server=by_server, now=now)
        self._report_crash(lost, "refused")
        self._check_silence()

    def connection_refused(self) -> None:
        """Record that the backend server's address refuses connections."""
        self._report_crash(self.detector.connection_refused(self.clock.monotonic()), "refused")

    def note_health_check(self, *, is_reachable: bool, asked_at: float) -> None:
        """Record whether the server responded to the health check sent at ``asked_at``."""
        now = self.clock.monotonic()
        if is_reachable:
            self.detector.note_response(asked_at, now)
        else:
            self.detector.health_check_failed(now)
            self._check_silence()

    def server_replaced(self) -> None:
        """Record that a new process has replaced the backend server."""
        self._report_crash(self.detector.server_replaced(), "replaced")
        self.guard.server_replaced()

    def _check_silence(self) -> None:
        """Report a crash if the server has been silent for too long, or set the timer for it."""
        now = self.clock.monotonic()
        self._report_crash(self.detector.check_silence(now), "silent")
        if self.timer is not None:
            self.timer.cancel()
        deadline = self.detector.silence_deadline()
        if deadline is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(deadline - now, self._check_silence)

    def close(self) -> None:
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def _report_crash(self, suspects: list[InFlightRequest], sign: str) -> None:
        if not suspects:
            return
        now = self.clock.monotonic()
        self.metrics.count("serving.server_ends")
        log.warning(
            "serving.server_ended",
            step="serving.ends",
            sign=sign,
            service=self.service,
            suspects=len(suspects),
            runs=[suspect.log_fields(now) for suspect in suspects[:MAX_LOGGED_SUSPECTS]],
        )
        self.guard.server_crashed(suspects)
