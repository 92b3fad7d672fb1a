"""Reads the backend server's health endpoint, within its budget."""

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
FAILED_CHECKS_TO_DOWN = 2
MAX_SLEEP_S = 0.1


class HealthChecker:
    """Tells ``listener`` the backend server's state as its own endpoint states it.

    Only draining and being down are taken from there. Load is known exactly on this side, from the
    requests under way and their times; the endpoint's figures lag or mislead, so they are not read.
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
        """``result_listener`` is told each reading, and when it was asked for."""
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
        """Read at the rate that these settings allow."""
        self.path = settings.health_path
        budget = HealthCheckBudget(
            settings.measuring_per_s, settings.measuring_share, settings.slots
        )
        if self.budget is not None:
            # What was learned stays: each of many changes a day would otherwise bring a read.
            budget.last_read_at = self.budget.last_read_at
            budget.read_ms = self.budget.read_ms
            budget.execution_ms = self.budget.execution_ms
        self.budget = budget
        self.configured.set()

    def server_replaced(self) -> None:
        """Forget how long reads and executions took on a start that has ended; read at once."""
        self.failed_checks = 0
        if self.budget is not None:
            self.budget = self.budget.for_new_server()

    def note_request(self, succeeded: bool, took_ms: float) -> None:
        """Note the end of a request: reads may be rarer where it went well, and come sooner where
        it failed. ``took_ms`` tells what share of the capacity a read costs."""
        if self.budget is not None:
            self.budget.record_response(self.clock.monotonic(), succeeded, took_ms)

    async def run(self) -> None:
        """Read until cancelled, from the first settings on.

        Waking for them in steps of 0.1 s made a node that starts serve 50 ms later on the mean.
        """
        await self.configured.wait()
        while True:
            now = self.clock.monotonic()
            due = self.next_check_at(now)
            if due > now:
                # In short steps, since a failing request may bring the next read forward.
                await self.clock.sleep(min(due - now, MAX_SLEEP_S))
                continue
            state = await self.check()
            if state is not None and state is not self.state:
                log.info("serving.backend_state", state=state, before=self.state)
                self.state = state
                self.state_listener(state)

    def next_check_at(self, now: float) -> float:
        """Return when to read next, in seconds: when the budget lets, sooner reads being worth it.

        ``preferred_check_at`` is told by whoever follows the load that each read brings.
        """
        assert self.budget is not None
        usual = self.budget.next_read_at(now)
        if self.preferred_check_at is None or self.budget.last_read_at is None:
            return usual
        wanted = self.preferred_check_at(now)
        if wanted is None:
            return usual
        return max(wanted, self.budget.last_read_at + self.budget.min_interval_s)

    async def check(self) -> BackendState | None:
        """Read once; ``None`` where one failure alone says too little."""
        assert self.budget is not None
        started = self.clock.monotonic()
        if not self.path:
            # Nothing to read: what becomes of requests is all there is to know.
            self.budget.record_read(started)
            return BackendState.READY
        try:
            answer = await self.transport.read(self.path, CHECK_TIMEOUT_S)
            reading = self.protocol.read_health(answer)
        except (MarjoramtideError, TimeoutError):
            reading = HealthCheckResult(BackendState.DOWN, is_reachable=False)
        now = self.clock.monotonic()
        self.budget.record_read(now, (now - started) * 1000)
        self.metrics.count("serving.measuring_reads")
        state = reading.state
        if self.result_listener is not None:
            self.result_listener(reading, started)
        if state is not BackendState.DOWN:
            self.failed_checks = 0
            return state
        self.failed_checks += 1
        return state if self.failed_checks >= FAILED_CHECKS_TO_DOWN or self.state is None else None
