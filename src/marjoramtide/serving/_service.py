"""Admission, queueing and execution of requests at the node's backend server."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable

import attrs
import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import (
    LoadReport,
    NotRunError,
    Request,
    RequestBody,
    RequestFailedError,
    RequestHandler,
    Response,
    ServerStatement,
    UnknownOutcomeError,
)
from marjoramtide.policy import (
    Admission,
    Interference,
    Verdict,
    make_admission,
    make_call_profile,
)
from marjoramtide.serving._backend_transport import BackendTransport
from marjoramtide.serving._crash_monitor import CrashMonitor
from marjoramtide.serving._execution import Execution, make_execution
from marjoramtide.serving._health_checker import HealthChecker
from marjoramtide.serving._idempotency_key_dispatcher import IdempotencyKeyDispatcher
from marjoramtide.serving._in_flight_reporter import InFlightReporter, NullInFlightReporter
from marjoramtide.serving._request_classifier import RequestClassifier
from marjoramtide.serving._request_guard import AllowAllGuard, RequestGuard
from marjoramtide.serving._running_requests import RunningRequests
from marjoramtide.serving._server_load import ServerLoad
from marjoramtide.serving._slot_queue import SlotQueue
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.telemetry import Metrics, Tracer

log = structlog.get_logger()

SEND_STEP = "serving.send"


class ServingService(RequestHandler):
    """Admits, queues, executes and cancels the requests for the node's backend server.

    All requests to the backend server pass through here, so load and in-flight requests are known
    exactly. Only this class reports a request as "not run", because it knows whether any byte of
    the request may have been sent.
    """

    def __init__(
        self,
        service: str,
        transport: BackendTransport,
        key_dispatcher: IdempotencyKeyDispatcher,
        view: SettingsView,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
        guard: RequestGuard | None = None,
        process_started_at: float | None = None,
        reporter: InFlightReporter | None = None,
    ) -> None:
        """Create the service in the closed state.

        Without a ``guard``, every request may be sent to the backend server. Without a
        ``reporter``, the requests that this node executes for its own callers are reported to no
        other node. ``process_started_at`` is the start of this process in seconds of the monotonic
        clock; by default, now.
        """
        self.guard = guard or AllowAllGuard()
        self.reporter = reporter or NullInFlightReporter()
        self.crash_monitor = CrashMonitor(service, self.guard, clock, metrics)
        self.service = service
        self.is_open = False
        self.is_evacuated = False
        self.admission: Admission = make_admission(
            RouteSettings(service=service),
            clock.monotonic() if process_started_at is None else process_started_at,
        )
        self.admission.set_accepting(False)
        self.queue = SlotQueue(self.admission, clock, self.report)
        self.transport = transport
        self.key_dispatcher = key_dispatcher
        self.clock = clock
        self.metrics = metrics
        self.tracer = tracer
        self.health_checker: HealthChecker | None = None
        self.interference = Interference()
        # The limits that the backend server states, and a callback for statements that arrive
        # with requests from other nodes.
        self.statement: ServerStatement | None = None
        self.statement_listener: Callable[[ServerStatement], None] | None = None
        self.load_listener: Callable[[LoadReport], None] | None = None
        self.classifier = RequestClassifier(view)
        self.tickets = itertools.count(1)
        self.in_progress: dict[int, Execution] = {}
        self.running = RunningRequests(
            clock, clock.monotonic() if process_started_at is None else process_started_at
        )
        self.background: set[asyncio.Task[Response]] = set()
        self.idle = asyncio.Event()
        self.idle.set()

    def open(self, settings: RouteSettings) -> None:
        """Apply these settings; the first call opens the service."""
        self.is_open = True
        self.admission.reconfigure(settings)

    def server_replaced(self) -> None:
        """Reset what was learned of the backend server after its process was restarted.

        A restarted server is cold and twice as slow for seconds. Compared with the best
        performance of the previous process it would look slowed down by noisy neighbours, and
        requests would wait for a change that never comes.

        The connections to the previous process are closed. A connection to a crashed server may
        stay silent, and its requests would occupy slots of the new process until their deadlines;
        this way they fail at once with an unknown outcome.
        """
        log.info("serving.server_replaced", lost=len(self.in_progress) - len(self.queue.waiting))
        self.interference = Interference()
        if self.health_checker is not None:
            self.health_checker.server_replaced()
        admitted = self.admission.server_replaced(self.clock.monotonic())
        self.crash_monitor.server_replaced()
        self.transport.server_replaced()
        self.queue.wake(admitted)
        self.queue.schedule_expiry()

    def set_accepting(self, accepting: bool) -> None:
        """Accept or reject new requests; requests in progress are not affected."""
        self.admission.set_accepting(accepting)

    def set_evacuated(self, evacuated: bool) -> None:
        """Set whether the data centre is evacuated; evacuation also rejects queued requests.

        Running requests are completed. The check here is the final one, because other nodes may not
        know of the evacuation yet.
        """
        self.is_evacuated = evacuated
        if evacuated:
            self.queue.reject_all(ErrorCode.EVACUATED)

    def note_load(self, load: ServerLoad) -> None:
        """Record the load that the backend server reports in a response or health check."""
        now = self.clock.monotonic()
        had_grid = self.interference.grid is not None
        changed = self.interference.observe(load.slowdown, now)
        grid = self.interference.grid
        if had_grid != (grid is not None):
            period_ms = None if grid is None else round(grid.period * 1000, 1)
            log.info("serving.interference_grid", period_ms=period_ms)
        self.admission.set_pace(self.interference.pace(now))
        self.queue.resume(now)
        if changed and self.load_listener is not None:
            self.load_listener(self.report(now))

    def note_cold_start(self, remaining_s: float) -> None:
        """Record for how many more seconds the backend server is in its cold start."""
        now = self.clock.monotonic()
        self.admission.set_cold_time(remaining_s, now)
        self.queue.resume(now)

    def note_statement(self, statement: ServerStatement | None, since: float) -> None:
        """Apply the limits that the backend server states, and include them in load reports.

        ``since`` is when the server first stated its rate limit or last lowered it.
        """
        now = self.clock.monotonic()
        self.statement = statement
        rate = None if statement is None else statement.rate_per_s
        self.admission.set_rate_limit(rate, since, now)
        self.queue.resume(now)
        if self.queue.waiting:
            # The expiry of queued requests depends on the rate limit.
            self.queue.schedule_expiry()

    def report(self, now: float) -> LoadReport:
        """Return the current load as it is reported to other nodes."""
        report = self.interference.annotate(self.admission.report(now), now)
        if self.statement is None:
            return report
        return attrs.evolve(report, statement=self.statement)

    def preferred_check_at(self, now: float) -> float | None:
        """Return the best time for the next health check, ``None`` while the load is unknown."""
        return (
            self.interference.preferred_check_at(now)
            if self.interference.has_observations
            else None
        )

    async def handle(self, request: Request, body: RequestBody) -> Response:
        if request.service != self.service:
            raise NotRunError(
                ErrorCode.UNKNOWN_SERVICE,
                f"this node serves {self.service!r}, not {request.service!r}",
                step="serving.admit",
            )
        if request.statement is not None and self.statement_listener is not None:
            # Before admission: after a restart this node may not know the limits yet.
            self.statement_listener(request.statement)
        if self.is_evacuated:
            raise NotRunError(
                ErrorCode.EVACUATED,
                "the data centre is evacuated",
                step="serving.admit",
                retry_after_ms=0,
            )
        fingerprint = self.guard.fingerprint(request, body)
        self.guard.check(request, fingerprint)
        ticket = next(self.tickets)
        execution = make_execution(ticket, request, body, self.clock.monotonic(), fingerprint)
        self.in_progress[ticket] = execution
        self.idle.clear()
        try:
            await self.admit(execution)
        except BaseException:
            self.remove(execution)
            raise
        self.running.begin(request)
        if request.idempotent:
            return await self.execute(execution)
        return await self.execute_uncancelled(execution)

    async def admit(self, execution: Execution) -> None:
        """Wait until the request may start; raises ``NotRunError`` if it is rejected."""
        request, ticket = execution.request, execution.ticket
        kind = self.classifier.classify(request)
        profile = make_call_profile(request, execution.deadline, request.attempt, kind)
        now = self.clock.monotonic()
        decision = self.admission.offer(ticket, profile, now)
        if decision.verdict is Verdict.REJECT:
            self.metrics.count(f"serving.rejected.{decision.reason}")
            raise NotRunError(
                ErrorCode(decision.reason),
                "the backend server has no free capacity",
                step="serving.admit",
                retry_after_ms=decision.retry_after_ms,
                report=self.report(now),
            )
        if decision.verdict is Verdict.QUEUE:
            await self.queue.wait(ticket)
        execution.started_at = self.clock.monotonic()

    async def execute_uncancelled(self, execution: Execution) -> Response:
        """Execute a non-idempotent request to completion even if its caller disconnects.

        Closing the connection would not undo a booking that the backend server has started; it
        would only lose the outcome. A disconnect therefore cancels only requests that have not
        been sent yet.
        """
        task = asyncio.create_task(self.execute(execution))
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if execution.may_have_run:
                task.add_done_callback(self.close_unread)
            else:
                task.cancel()
            raise

    def close_unread(self, task: "asyncio.Task[Response]") -> None:
        """Close the response stream of a request whose caller has disconnected."""
        if not task.cancelled() and task.exception() is None:
            closing = asyncio.ensure_future(task.result().close())
            self.background.add(closing)  # type: ignore[arg-type]
            closing.add_done_callback(self.background.discard)  # type: ignore[arg-type]

    async def execute(self, execution: Execution) -> Response:
        """Send an admitted request and return its response with the current load report."""
        request = execution.request
        succeeded = False
        is_streaming = False
        cancelled = False
        try:
            with self.tracer.span("serving", request.trace) as span:
                if span is not None:
                    # Spans of the backend server for this request become children of this span.
                    execution.request = attrs.evolve(request, trace=span.traceparent())
                answer = await self.send(execution)
                if span is not None:
                    span.attributes |= {"status": answer.status, "urgent": request.urgent}
            succeeded = not answer.is_server_error
            is_streaming = answer.stream is not None
            if not is_streaming:
                self.note_completed(execution)
            if answer.stream is not None:
                answer.stream = self.relay_stream(execution, answer.stream, succeeded)
                answer.cancel = self.finish_on_cancel(execution, answer)
        except RequestFailedError as error:
            # A rejection is a response, too: the server is alive and did not run the request.
            execution.is_answered = isinstance(error, NotRunError)
            if error.report is None and self.statement is not None:
                error.report = self.report(self.clock.monotonic())
            await self.probe_after_loss(execution, error)
            self.metrics.count(f"serving.failed.{error.code}")
            log.info(
                "serving.failed",
                request=request.request_id,
                code=error.code,
                step=error.step,
                peer=error.peer,
                reason=error.message,
                service=request.service,
                what=request.label,
                fingerprint=f"{execution.fingerprint:016x}",
                began=execution.may_have_run,
                ran_ms=round((self.clock.monotonic() - execution.started_at) * 1000, 1),
                slowdown=self.interference.slowdown,
                in_use=len(self.in_progress),
            )
            raise
        except asyncio.CancelledError:
            cancelled = True
            raise
        finally:
            if not is_streaming:
                self.finish(execution, succeeded, cancelled)
        now = self.clock.monotonic()
        answer.report = self.report(now)
        answer.served_ms = (now - execution.arrived_at) * 1000
        if self.interference.has_observations:
            answer.work_ms = self.interference.work_ms(execution.started_at, now)
        return answer

    def note_completed(self, execution: Execution) -> None:
        """Record that the backend server has completed a request."""
        execution.is_answered = True
        self.guard.completed(execution.fingerprint)

    async def probe_after_loss(self, execution: Execution, error: RequestFailedError) -> None:
        """Check whether the backend server has crashed, before a lost request is reported.

        A request that crashes its server would otherwise be retried on the next server before any
        node knows of the crash: one request with three attempts crashed three servers within 0.14
        s. With the check first, the report of the crash is sent to all nodes before the failure is
        returned. The report needs one network hop, a retry needs two.
        """
        if isinstance(error, UnknownOutcomeError) and execution.may_have_run:
            self.crash_monitor.request_ended(execution, cancelled=False)
            await self.transport.probe()

    async def send(self, execution: Execution) -> Response:
        """Send the request within its deadline, under a claim if it has an idempotency key."""
        request = execution.request
        remaining_s = execution.deadline - self.clock.monotonic()
        if remaining_s <= 0:
            raise NotRunError(ErrorCode.DEADLINE, "the deadline has already passed", step=SEND_STEP)
        self.guard.begin(request, execution.fingerprint)
        try:
            async with asyncio.timeout(remaining_s):
                if not request.relayed:
                    await self.reporter.request_started(execution.ticket, execution.fingerprint)
                if request.idempotency_key and not request.idempotent:
                    return await self.key_dispatcher.dispatch(execution, self.dispatch)
                return await self.dispatch(execution)
        except TimeoutError as error:
            if not execution.may_have_run:
                raise NotRunError(
                    ErrorCode.DEADLINE,
                    "the deadline passed before the request was sent",
                    step=SEND_STEP,
                ) from error
            raise UnknownOutcomeError(
                ErrorCode.DEADLINE, "the backend server missed the deadline", step=SEND_STEP
            ) from error

    async def dispatch(self, execution: Execution) -> Response:
        """Send the request to the backend server."""
        body = await self.buffer_body(execution)
        execution.is_dispatched = True
        remaining_s = execution.deadline - self.clock.monotonic()
        return await self.transport.send(
            execution.request, body, remaining_s * 1000, lambda: self.mark_sent(execution)
        )

    async def buffer_body(self, execution: Execution) -> RequestBody:
        """Return the request body, buffered in memory unless it is long.

        If the upload broke off after a part of the body was sent, it would be unknown whether the
        request has run.
        """
        try:
            return await execution.body.buffered()
        except UnknownOutcomeError as error:
            raise NotRunError(error.code, error.message, step=SEND_STEP) from error

    def mark_sent(self, execution: Execution) -> None:
        """Record that the backend server may run the request from now on."""
        execution.mark_sent()
        self.metrics.count("serving.begun")
        self.crash_monitor.request_started(execution)

    async def relay_stream(
        self, execution: Execution, stream: AsyncIterator[bytes], succeeded: bool
    ) -> AsyncIterator[bytes]:
        """Relay the response stream, enforce the deadline and free the slot at its end."""
        is_complete = False
        try:
            while True:
                # The timeout covers the read only: across the yield, it would cancel the consumer
                # in the middle of other work, and the deadline would go unreported.
                remaining_s = max(0.0, execution.deadline - self.clock.monotonic())
                async with asyncio.timeout(remaining_s):
                    data = await anext(stream, None)
                if data is None:
                    break
                yield data
            is_complete = True
            self.note_completed(execution)
        except TimeoutError as error:
            raise UnknownOutcomeError(
                ErrorCode.DEADLINE, "the deadline passed during the response", step="serving.stream"
            ) from error
        finally:
            self.finish(execution, succeeded and is_complete)

    def finish_on_cancel(self, execution: Execution, answer: Response):  # type: ignore[no-untyped-def]
        close = answer.cancel

        async def cancel() -> None:
            if close is not None:
                await close()
            self.finish(execution, False, cancelled=True)

        return cancel

    def finish(self, execution: Execution, succeeded: bool, cancelled: bool = False) -> None:
        """Free the slot, once, and start queued requests that can use it.

        Requests that the ingress node cancelled and requests that never reached the backend server
        because no claim was possible are not counted as failures. Otherwise the losers of hedged
        requests, and all bookings while the store is down, would lower the concurrency limit and
        the success rate of healthy servers.
        """
        if execution.ticket not in self.in_progress:
            return
        now = self.clock.monotonic()
        duration_ms = (now - execution.started_at) * 1000
        self.metrics.timing("serving.execution", duration_ms)
        self.crash_monitor.request_ended(execution, cancelled=cancelled)
        if cancelled or not execution.is_dispatched:
            self.queue.wake(self.admission.withdraw(execution.ticket, now))
        else:
            if self.health_checker is not None:
                self.health_checker.note_request(succeeded, duration_ms)
            work_ms = self.interference.work_ms(execution.started_at, now)
            had_refused_calls = not succeeded and self.running.has_refused_calls(execution.request)
            admitted = self.admission.finished(
                execution.ticket, now, work_ms, succeeded, had_refused_calls
            )
            self.queue.wake(admitted)
        self.remove(execution)
        if self.queue.waiting:
            # The result may have changed the limit or the estimated execution times.
            self.queue.schedule_expiry()

    def remove(self, execution: Execution) -> None:
        """Remove a request that has ended or was rejected."""
        self.in_progress.pop(execution.ticket, None)
        self.reporter.request_finished(execution.ticket)
        self.running.end(execution.request)
        if not self.in_progress:
            self.idle.set()

    def reject_queued(self) -> None:
        """Reject all queued requests as "not run", so that other nodes can serve them."""
        self.queue.reject_all()

    def reject_quarantined(self, fingerprint: int) -> None:
        """Reject queued requests with a fingerprint that has just been quarantined."""
        matching = [each for each in self.in_progress.values() if each.fingerprint == fingerprint]
        for execution in matching:
            try:
                self.guard.check(execution.request, fingerprint)
            except NotRunError as error:
                self.queue.reject(execution.ticket, error)

    async def close(self) -> None:
        """Cancel background tasks and timers, and close the connections to the server."""
        self.queue.close()
        self.crash_monitor.close()
        for task in list(self.background):
            task.cancel()
        await self.transport.close()
