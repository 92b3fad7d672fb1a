"""The only door to a node's own backend server."""

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

STEP = "serving.send"


class ServingService(RequestHandler):
    """Admits, queues, dispatches and cancels, from exact local knowledge.

    Only this class says "not run" of a request: it knows whether a byte of it may have left.
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
        """Without a ``guard`` the backend server may begin every request.

        Without a ``reporter`` no other node knows what this one runs for its own callers.
        ``process_started_at`` is when this process started, in seconds of the monotonic clock; by
        default, now.
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
        # What the backend server says that it takes, and who hears what other nodes know of that.
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
        """Begin to admit by these settings, or go on by changed ones."""
        self.is_open = True
        self.admission.reconfigure(settings)

    def server_replaced(self) -> None:
        """Forget a backend server whose place another start of it has taken, and what it ran.

        Failure: the new one is cold and twice as slow for seconds. By the quickest state of the old
        one it passes for slowed by neighbours, and requests wait for a change that does not come.
        Runs of the old one hold slots of the new one until their deadlines, since a connection to a
        server that crashed may stay silent. Closed, they end at once, as of unknown outcome.
        """
        log.info("serving.server_replaced", lost=len(self.in_progress) - len(self.queue.waiting))
        self.interference = Interference()
        if self.health_checker is not None:
            self.health_checker.server_replaced()
        started = self.admission.server_replaced(self.clock.monotonic())
        self.crash_monitor.server_replaced()
        self.transport.server_replaced()
        self.queue.wake(started)
        self.queue.schedule_expiry()

    def set_accepting(self, accepting: bool) -> None:
        """Take new requests, or reject them while those in progress go on."""
        self.admission.set_accepting(accepting)

    def set_evacuated(self, evacuated: bool) -> None:
        """Give the backend server nothing more, what waits for it included, or work again.

        What it runs ends as it would. The last check, since others may not have heard yet.
        """
        self.is_evacuated = evacuated
        if evacuated:
            self.queue.reject_all(ErrorCode.EVACUATED)

    def note_load(self, load: ServerLoad) -> None:
        """Take in what the backend server says of itself, with an answer or its health."""
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

    def note_cold_start(self, left_s: float) -> None:
        """Take in for how much longer the backend server is cold, in seconds."""
        now = self.clock.monotonic()
        self.admission.set_cold_time(left_s, now)
        self.queue.resume(now)

    def note_statement(self, statement: ServerStatement | None, since: float) -> None:
        """Go by what the backend server says that it takes, and tell other nodes of it.

        ``since`` is when it first named its limit or when that last fell.
        """
        now = self.clock.monotonic()
        self.statement = statement
        rate = None if statement is None else statement.rate_per_s
        self.admission.set_rate_limit(rate, since, now)
        self.queue.resume(now)
        if self.queue.waiting:
            # What waited for a lower limit is looked at by the new one.
            self.queue.schedule_expiry()

    def report(self, now: float) -> LoadReport:
        """Return the load at this moment, as other nodes are told."""
        report = self.interference.annotate(self.admission.report(now), now)
        if self.statement is None:
            return report
        return attrs.evolve(report, statement=self.statement)

    def preferred_check_at(self, now: float) -> float | None:
        """Return when a look at the backend server's load is worth most, ``None`` while unknown."""
        return (
            self.interference.preferred_read_at(now) if self.interference.has_observations else None
        )

    async def handle(self, request: Request, body: RequestBody) -> Response:
        if request.service != self.service:
            raise NotRunError(
                ErrorCode.UNKNOWN_SERVICE,
                f"this node serves {self.service!r}, not {request.service!r}",
                step="serving.admit",
            )
        if request.statement is not None and self.statement_listener is not None:
            # Before it is admitted: this node may have started anew, and know nothing of it.
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
            self.done(execution)
            raise
        self.running.begin(request)
        if request.idempotent:
            return await self.execute(execution)
        return await self.execute_uncancelled(execution)

    async def admit(self, execution: Execution) -> None:
        """Return when the request may start; raise ``NotRunError`` where it may not."""
        request, ticket = execution.request, execution.ticket
        kind = self.classifier.classify(request)
        profile = make_call_profile(request, execution.deadline, request.attempt, kind)
        now = self.clock.monotonic()
        decision = self.admission.offer(ticket, profile, now)
        if decision.verdict is Verdict.REJECT:
            self.metrics.count(f"serving.rejected.{decision.reason}")
            raise NotRunError(
                ErrorCode(decision.reason),
                "the backend server has no room",
                step="serving.admit",
                retry_after_ms=decision.retry_after_ms,
                report=self.report(now),
            )
        if decision.verdict is Verdict.QUEUE:
            await self.queue.wait(ticket)
        execution.started_at = self.clock.monotonic()

    async def execute_uncancelled(self, execution: Execution) -> Response:
        """Execute a non-idempotent request whether or not its caller still waits.

        Closing the connection would not undo a booking that has begun; it would only lose its
        outcome. So a caller that goes away cancels what has not begun, and nothing else.
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
        """Close the stream of an answer that nobody will read."""
        if not task.cancelled() and task.exception() is None:
            closing = asyncio.ensure_future(task.result().close())
            self.background.add(closing)  # type: ignore[arg-type]
            closing.add_done_callback(self.background.discard)  # type: ignore[arg-type]

    async def execute(self, execution: Execution) -> Response:
        """Send an admitted request and return its answer with the load at this moment."""
        request = execution.request
        succeeded = False
        streaming = False
        cancelled = False
        try:
            with self.tracer.span("serving", request.trace) as span:
                if span is not None:
                    # What the backend server does for this request is this span's child.
                    execution.request = attrs.evolve(request, trace=span.traceparent())
                answer = await self.send(execution)
                if span is not None:
                    span.attributes |= {"status": answer.status, "urgent": request.urgent}
            succeeded = not answer.is_server_error
            streaming = answer.stream is not None
            if not streaming:
                self.note_answer(execution)
            if answer.stream is not None:
                answer.stream = self.watch_stream(execution, answer.stream, succeeded)
                answer.cancel = self.finish_on_cancel(execution, answer)
        except RequestFailedError as error:
            # A refusal is an answer, too: the backend server lives, and has not begun.
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
            if not streaming:
                self.finish(execution, succeeded, cancelled)
        now = self.clock.monotonic()
        answer.report = self.report(now)
        answer.served_ms = (now - execution.arrived_at) * 1000
        if self.interference.has_observations:
            answer.work_ms = self.interference.work_ms(execution.started_at, now)
        return answer

    def note_answer(self, execution: Execution) -> None:
        """Note that the backend server has completed a request."""
        execution.is_answered = True
        self.guard.completed(execution.fingerprint)

    async def probe_after_loss(self, execution: Execution, error: RequestFailedError) -> None:
        """Find out whether the backend server has ended, before a failed run is told of.

        Failure: a request ends its server, and before any node knows of that end its ingress node
        has sent it to the next one: an attempt of a caller that allows three tries ended three
        servers within 0.14 s. Looked for first, the news of the end is on its way to all nodes
        before the failure is; they need one way for it, a second try needs two.
        """
        if isinstance(error, UnknownOutcomeError) and execution.may_have_run:
            self.crash_monitor.request_ended(execution, cancelled=False)
            await self.transport.probe()

    async def send(self, execution: Execution) -> Response:
        request = execution.request
        remaining = execution.deadline - self.clock.monotonic()
        if remaining <= 0:
            raise NotRunError(ErrorCode.DEADLINE, "no time is left", step=STEP)
        self.guard.begin(request, execution.fingerprint)
        try:
            async with asyncio.timeout(remaining):
                if not request.relayed:
                    await self.reporter.request_started(execution.ticket, execution.fingerprint)
                if request.idempotency_key and not request.idempotent:
                    return await self.key_dispatcher.dispatch(execution, self.dispatch)
                return await self.dispatch(execution)
        except TimeoutError as error:
            if not execution.may_have_run:
                raise NotRunError(
                    ErrorCode.DEADLINE, "the deadline passed before it was sent", step=STEP
                ) from error
            raise UnknownOutcomeError(
                ErrorCode.DEADLINE, "the deadline passed in the backend server", step=STEP
            ) from error

    async def dispatch(self, execution: Execution) -> Response:
        """Hand the request to the backend server."""
        body = await self.collect(execution)
        execution.is_dispatched = True
        remaining = execution.deadline - self.clock.monotonic()
        return await self.transport.send(
            execution.request, body, remaining * 1000, lambda: self.begin(execution)
        )

    async def collect(self, execution: Execution) -> RequestBody:
        """Return the body, wholly in memory where it isn't long.

        A part of it at the backend server would leave open whether the request has run.
        """
        try:
            return await execution.body.buffered()
        except UnknownOutcomeError as error:
            raise NotRunError(error.code, error.message, step=STEP) from error

    def begin(self, execution: Execution) -> None:
        """Note that from here on the backend server may have begun a request."""
        execution.mark_sent()
        self.metrics.count("serving.begun")
        self.crash_monitor.request_started(execution)

    async def watch_stream(
        self, execution: Execution, stream: AsyncIterator[bytes], succeeded: bool
    ) -> AsyncIterator[bytes]:
        """Pass the stream on; the slot is free when it ends, within the deadline."""
        whole = False
        try:
            while True:
                # Around the read alone: a timeout that spans the yield would cancel whoever takes
                # the data, amid something else, and nobody would be told of the deadline.
                remaining = max(0.0, execution.deadline - self.clock.monotonic())
                async with asyncio.timeout(remaining):
                    data = await anext(stream, None)
                if data is None:
                    break
                yield data
            whole = True
            self.note_answer(execution)
        except TimeoutError as error:
            raise UnknownOutcomeError(
                ErrorCode.DEADLINE, "the deadline passed amid the answer", step="serving.stream"
            ) from error
        finally:
            self.finish(execution, succeeded and whole)

    def finish_on_cancel(self, execution: Execution, answer: Response):  # type: ignore[no-untyped-def]
        close = answer.cancel

        async def cancel() -> None:
            if close is not None:
                await close()
            self.finish(execution, False, cancelled=True)

        return cancel

    def finish(self, execution: Execution, succeeded: bool, cancelled: bool = False) -> None:
        """Free the slot, once, and start whoever waits for it.

        A request that its ingress node gave up, or that never got as far as the backend server for
        want of a claim, says nothing of success: counted as failures, the losers of hedges, and all
        bookings while the store is down, would lower the limit and the success rate of healthy
        servers.
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
            started = self.admission.finished(
                execution.ticket, now, work_ms, succeeded, had_refused_calls
            )
            self.queue.wake(started)
        self.done(execution)
        if self.queue.waiting:
            # What ended may have changed how long the others will take, or the limit.
            self.queue.schedule_expiry()

    def done(self, execution: Execution) -> None:
        self.in_progress.pop(execution.ticket, None)
        self.reporter.request_finished(execution.ticket)
        self.running.end(execution.request)
        if not self.in_progress:
            self.idle.set()

    def reject_queued(self) -> None:
        """Refuse what is queued as not run, so that other nodes may take it."""
        self.queue.reject_all()

    def reject_quarantined(self, fingerprint: int) -> None:
        """Refuse at once what waits for a slot and is held back from now on."""
        same = [each for each in self.in_progress.values() if each.fingerprint == fingerprint]
        for execution in same:
            try:
                self.guard.check(execution.request, fingerprint)
            except NotRunError as error:
                self.queue.reject(execution.ticket, error)

    async def close(self) -> None:
        """Close the connections to the backend server."""
        self.queue.close()
        self.crash_monitor.close()
        for task in list(self.background):
            task.cancel()
        await self.transport.close()
