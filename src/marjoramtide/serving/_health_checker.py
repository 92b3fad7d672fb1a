"""Periodic health checks of the backend server, within a budget."""

import asyncio
from collections.abc import Callable

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import MarjoramtideError
from marjoramtide.policy import HealthCheckBudget
from marjoramtide.serving._backend_protocol import BackendProtocol
from marjoramtide.serving._backend_state import BackendState
from marjoramtide.serving._backend_transport import BackendTransport
from marjoramtide.serving._default_backend_protocol import DefaultBackendProtocol
from marjoramtide.serving._health_check_result import HealthCheckResult
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

CHECK_TIMEOUT_S = 1.0
DOWN_AFTER_FAILED_CHECKS = 2
# Upper bound of a sleep between checks, since a failing request may bring the next check forward.
MAX_SLEEP_S = 0.1


class HealthChecker:
    """Reports changes of the backend server's state, by its health endpoint, to ``state_listener``.

    From the endpoint only the states draining and down are used. Load is known exactly on this
    side, from the requests in flight and their times; the endpoint's figures lag or mislead, so the
    checker ignores them.
    """

    def __init__(
        self,
        transport: BackendTransport,
        clock: Clock,
        metrics: Metrics,
        state_listener: Callable[[BackendState], None],
        protocol: BackendProtocol | None = None,
        result_listener: Callable[[HealthCheckResult, float], None] | None = None,
    ) -> None:
        """``result_listener`` receives each result and the time at which the check was sent."""
        self.protocol = protocol or DefaultBackendProtocol()
        self.result_listener = result_listener
        self.preferred_check_at: Callable[[float], float | None] | None = None
        self.transport = transport
        self.clock = clock
        self.metrics = metrics
        self.state_listener = state_listener
        self.state: BackendState | None = None
        self.failed_checks = 0
        self.path = "/health"
        self.budget: HealthCheckBudget | None = None
        self.configured = asyncio.Event()

    def configure(self, settings: RouteSettings) -> None:
        """Apply the health path and the rate limits of these settings."""
        self.path = settings.health_path
        budget = HealthCheckBudget(
            settings.measuring_per_s, settings.measuring_share, settings.slots
        )
        if self.budget is not None:
            # Keep the measurements; settings change many times a day, and each change would
            # otherwise cause an additional check.
            budget.last_read_at = self.budget.last_read_at
            budget.read_ms = self.budget.read_ms
            budget.execution_ms = self.budget.execution_ms
        self.budget = budget
        self.configured.set()

    def server_replaced(self) -> None:
        """Reset the measured times after a restart of the server, and check at once."""
        self.failed_checks = 0
        if self.budget is not None:
            self.budget = self.budget.for_new_server()

    def note_request(self, succeeded: bool, duration_ms: float) -> None:
        """Record the end of a request.

        Checks may be rarer after successes and come sooner after failures. ``duration_ms`` is used
        to estimate what share of the server's capacity a check costs.
        """
        if self.budget is not None:
            self.budget.record_response(self.clock.monotonic(), succeeded, duration_ms)

    async def run(self) -> None:
        """Run checks until cancelled, starting as soon as settings are available.

        Polling for the settings every 0.1 s delayed the first request served by a starting node by
        50 ms on average.
        """
        await self.configured.wait()
        while True:
            now = self.clock.monotonic()
            check_at = self.next_check_at(now)
            if check_at > now:
                await self.clock.sleep(min(check_at - now, MAX_SLEEP_S))
                continue
            state = await self.check()
            if state is not None:
                self.note_state(state)

    def note_state(self, state: BackendState) -> None:
        """Record the server's state, by a check or another reading of its health endpoint."""
        if state is not self.state:
            log.info("serving.backend_state", state=state, before=self.state)
            self.state = state
            self.state_listener(state)

    def next_check_at(self, now: float) -> float:
        """Return the time of the next check.

        This is the budget's regular time, or an earlier preferred time if the budget allows it.
        ``preferred_check_at`` is supplied by the component that analyses the reported load.
        """
        assert self.budget is not None
        regular_at = self.budget.next_read_at(now)
        if self.preferred_check_at is None or self.budget.last_read_at is None:
            return regular_at
        preferred = self.preferred_check_at(now)
        if preferred is None:
            return regular_at
        return max(preferred, self.budget.last_read_at + self.budget.min_interval_s)

    async def check(self) -> BackendState | None:
        """Run one check; returns ``None`` after a single failure, which is not conclusive."""
        assert self.budget is not None
        sent_at = self.clock.monotonic()
        if not self.path:
            # Without a health endpoint, the results of requests are the only evidence.
            self.budget.record_read(sent_at)
            return BackendState.READY
        try:
            response = await self.transport.read(self.path, CHECK_TIMEOUT_S)
            result = self.protocol.read_health(response)
        except (MarjoramtideError, TimeoutError):
            result = HealthCheckResult(BackendState.DOWN, is_reachable=False)
        now = self.clock.monotonic()
        self.budget.record_read(now, (now - sent_at) * 1000)
        self.metrics.count("serving.measuring_reads")
        state = result.state
        if self.result_listener is not None:
            self.result_listener(result, sent_at)
        if state is not BackendState.DOWN:
            self.failed_checks = 0
            return state
        self.failed_checks += 1
        return (
            state if self.failed_checks >= DOWN_AFTER_FAILED_CHECKS or self.state is None else None
        )
