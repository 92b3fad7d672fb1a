"""Dispatch of a request to serving nodes until there is one final response."""

import asyncio
import math
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
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
from marjoramtide.ingress._attempts import Attempts
from marjoramtide.ingress._decision import Decision
from marjoramtide.ingress._failure_feedback import apply_failure
from marjoramtide.ingress._hedge import Hedge
from marjoramtide.ingress._known_statements import KnownStatements
from marjoramtide.ingress._peer_crash_detector import PeerCrashDetector
from marjoramtide.ingress._service_state import ServiceState, make_service_state
from marjoramtide.ingress._startup_grace import StartupGrace
from marjoramtide.membership import Directory, Member
from marjoramtide.peers import PeerClient
from marjoramtide.policy import (
    CallProfile,
    SmoothSplit,
    make_call_profile,
    make_smooth_split,
)
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.telemetry import Metrics, Tracer

ANSWERED = "answered"

Shares = tuple[tuple[str, int], ...]


class Dispatcher:
    """Sends each request to the node that the selector chooses, and retries where that is safe."""

    def __init__(
        self,
        directory: Directory,
        view: SettingsView,
        local_handler: RequestHandler,
        peers: PeerClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        tracer: Tracer,
        startup_grace: StartupGrace | None = None,
        crash_detector: PeerCrashDetector | None = None,
    ) -> None:
        """Initialize the dispatcher.

        Without a ``startup_grace`` no request waits for members to become known. Without a
        ``crash_detector`` lost requests are not checked for a crash of their node.
        """
        self.directory = directory
        self.view = view
        self.local_handler = local_handler
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.tracer = tracer
        self.service_states: dict[str, ServiceState] = {}
        # States made from earlier settings, whose budgets may still be valid.
        self.previous_states: dict[str, ServiceState] = {}
        self.started_at = clock.monotonic()
        self.statements = KnownStatements()
        self.splits: dict[tuple[str, str, Shares], SmoothSplit] = {}
        self.timeouts: set[asyncio.Timeout] = set()
        self.startup_grace = startup_grace or StartupGrace(clock)
        self.crash_detector = crash_detector
        view.on_change(self.settings_changed)

    def settings_changed(self, revision: int) -> None:
        """Discard the state of services whose settings have changed, but for their budgets.

        If all of it were discarded, each of hundreds of changes a day would make every node start
        over with its estimates.
        """
        self.splits.clear()
        known = self.previous_states | self.service_states
        settings = {service: self.service_settings(service) for service in known}
        self.service_states = {
            service: state
            for service, state in self.service_states.items()
            if settings[service] == state.settings
        }
        self.previous_states = {
            service: state
            for service, state in known.items()
            if settings[service] is not None and service not in self.service_states
        }

    def service_settings(self, service: str) -> RouteSettings | None:
        """Return the settings of the whole service, or ``None`` if it was removed."""
        try:
            return self.view.route(service, "/")
        except MarjoramtideError:
            return None

    def service_state(self, service: str) -> ServiceState:
        """Return the state of a service, updated to its current members."""
        service_state = self.service_states.get(service)
        if service_state is None:
            settings = self.view.route(service, "/")
            service_state = make_service_state(
                settings,
                self.directory.self_member,
                self.rng,
                self.previous_states.pop(service, None),
                self.started_at,
            )
            self.service_states[service] = service_state
        service_state.refresh(self.directory, self.clock.monotonic())
        return service_state

    def draw_service(self, settings: RouteSettings) -> str:
        """Return the service that is to run the next request of a route with a weighted split."""
        # The split is part of the key: a request read before a change may be dispatched after it.
        key = (settings.service, settings.route, settings.split)
        split = self.splits.get(key)
        if split is None:
            split = self.splits[key] = make_smooth_split(settings.split, self.rng)
        return split.draw()

    async def dispatch(
        self, request: Request, body: RequestBody, settings: RouteSettings
    ) -> Response:
        """Return the response; raises ``NotRunError`` or ``UnknownOutcomeError`` as soon as known.

        On a route with a weighted split the service is drawn once: if it is overloaded, the request
        is refused instead of moved, so that the services keep the shares set by the operator.
        """
        if settings.split:
            request = attrs.evolve(request, service=self.draw_service(settings))
        attempts = Attempts(request, body, settings, self.service_state(request.service))
        now = self.clock.monotonic()
        attempts.budgets.retries.deposit(now)
        attempts.budgets.rejections.deposit(now)
        try:
            async with self.time_limit(max(0.0, request.deadline - now)):
                await self.startup_grace.wait_until(
                    lambda: self.has_members(request.service)
                    and self.startup_grace.is_quarantine_known()
                )
                if request.idempotent and body.inline is not None:
                    attempts.budgets.hedges.deposit(now)
                    response = await self.run_hedged(attempts)
                else:
                    response = await self.run_sequential(attempts)
                response.decisions = attempts.decisions
                return response
        except RequestFailedError as error:
            error.decisions = attempts.decisions
            raise
        except TimeoutError as error:
            late = UnknownOutcomeError(
                ErrorCode.DEADLINE,
                "the deadline passed before the response came",
                step="ingress.dispatch",
                retry_after_ms=attempts.state.selector.retry_after_ms(self.clock.monotonic()),
            )
            late.decisions = attempts.decisions
            raise late from error
        except MarjoramtideError as error:
            if not attempts.count:
                raise
            # Not every error states an outcome. Without this, one that arises after an attempt was
            # sent would be refused with the status for "not run".
            raise UnknownOutcomeError(
                ErrorCode.INTERNAL,
                f"an attempt failed without an outcome: {error}",
                step="ingress.dispatch",
                peer=error.peer,
            ) from error

    @asynccontextmanager
    async def time_limit(self, seconds: float) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` after ``seconds``, or earlier if ``expire_all`` is called."""
        async with asyncio.timeout(seconds) as timeout:
            self.timeouts.add(timeout)
            try:
                yield
            finally:
                self.timeouts.discard(timeout)

    def expire_all(self) -> None:
        """End all requests in progress, as if their deadlines had passed."""
        now = asyncio.get_running_loop().time()
        for timeout in self.timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    def has_members(self, service: str) -> bool:
        """Return whether any node of a service is known."""
        return bool(self.directory.members_of(service))

    async def run_sequential(self, attempts: Attempts) -> Response:
        """Send the request to one node at a time until there is a response."""
        while True:
            node = self.choose_node(attempts)
            if node is None:
                raise attempts.final_error(self.clock.monotonic())
            try:
                return await self.run_attempt(attempts, node)
            except RequestFailedError as error:
                attempts.record_failure(error)
                now = self.clock.monotonic()
                if not attempts.may_retry(error, now):
                    raise attempts.final_error(now) from error

    async def run_hedged(self, attempts: Attempts) -> Response:
        """Send the request with hedging: to a second node in parallel if the first one is slow.

        The attempts that lose are cancelled. Only for idempotent requests whose body can be resent.
        """
        first = self.choose_node(attempts)
        if first is None:
            raise attempts.final_error(self.clock.monotonic())
        delay_ms = attempts.state.selector.hedge_delay_ms(
            first, self.clock.monotonic(), self.call_profile(attempts)
        )
        delay_s = None if delay_ms is None else delay_ms / 1000
        hedge = Hedge(
            start_hedge=lambda: self.start_hedge(attempts, hedge),
            on_failure=lambda task: self.handle_result(
                attempts, hedge, task.exception() or task.result()
            ),
        )
        try:
            result = await hedge.run_first(self.run_attempt(attempts, first), delay_s)
            if self.handle_result(attempts, hedge, result):
                return attempts.pop_response()
            return await self.wait_for_hedges(
                attempts, hedge, None if hedge.delay_passed else delay_s
            )
        finally:
            if hedge.tasks or attempts.responses:
                await self.cancel_attempts(hedge.tasks, attempts)

    async def wait_for_hedges(
        self, attempts: Attempts, hedge: Hedge, delay_s: float | None
    ) -> Response:
        """Wait for the attempts in progress after the first one has failed."""
        while hedge.tasks:
            done, _ = await asyncio.wait(
                hedge.tasks, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                delay_s = None
                self.start_hedge(attempts, hedge)
                continue
            for task in done:
                hedge.tasks.discard(task)
                if self.handle_result(attempts, hedge, task.exception() or task.result()):
                    return attempts.pop_response()
        if attempts.responses:
            return attempts.pop_response()
        raise attempts.final_error(self.clock.monotonic())

    def start_hedge(self, attempts: Attempts, hedge: Hedge) -> None:
        """Start a hedge in parallel with a slow attempt, if its budget allows."""
        now = self.clock.monotonic()
        if not attempts.may_start_attempt():
            return
        if attempts.state.may_hedge(now) and attempts.budgets.hedges.withdraw(now):
            self.metrics.count("ingress.hedges")
            self.start_next_attempt(attempts, hedge)

    def handle_result(
        self, attempts: Attempts, hedge: Hedge, result: Response | BaseException
    ) -> bool:
        """Return whether the result of an attempt is final; if not, retry where allowed."""
        failure = attempts.record_result(result)
        if failure is None:
            return True
        if attempts.may_retry(failure, self.clock.monotonic()):
            self.metrics.count("ingress.retries")
            self.start_next_attempt(attempts, hedge)
        return False

    def start_next_attempt(self, attempts: Attempts, hedge: Hedge) -> None:
        """Start an attempt at another node, if there is one."""
        node = self.choose_node(attempts)
        if node is not None:
            hedge.add(self.run_attempt(attempts, node))

    async def cancel_attempts(
        self, tasks: "set[asyncio.Task[Response]]", attempts: Attempts
    ) -> None:
        """Cancel the attempts that lost, and close any responses that they got nevertheless."""
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Response):
                await result.close()
        for response in attempts.responses:
            await response.close()

    def choose_node(self, attempts: Attempts) -> str | None:
        """Return a node that the request was not sent to yet, and count the attempt."""
        profile = self.call_profile(attempts)
        now = self.clock.monotonic()
        # Refreshed for each attempt: a node that joined since the request came in may be the only
        # one left, for example when the server that queued the request leaves once its successor
        # is up.
        attempts.state.refresh(self.directory, now)
        node = attempts.state.selector.choose(profile, now, attempts.excluded)
        if node is None and attempts.rejected_by:
            # A node may reject a first attempt because other nodes probably have free capacity. If
            # there is no other, the request would be refused although it could be served in time.
            # A second attempt is admitted or rejected by the node's own capacity alone.
            attempts.excluded -= attempts.rejected_by
            node = attempts.state.selector.choose(profile, now, attempts.excluded)
        if node is None and attempts.lost_server_at:
            # The next incarnation of the server may be up by now, and may be the only one left. A
            # node without a server rejects the request at once.
            attempts.excluded -= attempts.lost_server_at
            node = attempts.state.selector.choose(profile, now, attempts.excluded)
        if node is None and attempts.slowed_nodes:
            node = self.choose_slowed_node(attempts, profile, now)
        if node is not None:
            attempts.excluded.add(node)
            attempts.count += 1
        return node

    def choose_slowed_node(
        self, attempts: Attempts, profile: CallProfile, now: float
    ) -> str | None:
        """Return the best of the nodes that rejected the request only as slow; once per request.

        Failure: the only remaining server of a service is slow for a few tenths of a second. It has
        free capacity but rejects first attempts, since other servers may be faster, and the request
        is not sent to it again. A second attempt waits there until the server is fast again, or is
        rejected if that would be too late.
        """
        others = {member.node for member in attempts.state.members} - attempts.slowed_nodes
        attempts.slowed_nodes.clear()
        without_goal = attrs.evolve(profile, goal=math.inf)
        return attempts.state.selector.choose(without_goal, now, others)

    def call_profile(self, attempts: Attempts) -> CallProfile:
        """Return the properties of the request that the selector considers."""
        request = attempts.request
        route = attempts.settings.route
        return make_call_profile(request, request.deadline, attempts.count + 1, route)

    async def run_attempt(self, attempts: Attempts, node: str) -> Response:
        """Send the request to one node, and update the selector with the outcome."""
        selector = attempts.state.selector
        started = self.clock.monotonic()
        # Read before sending: the log is to show the estimate that the choice was based on.
        believed = selector.node_snapshot(node, started)
        selector.sent(node, started)
        attempts.attempt_started(node, started)
        sent_statement = self.known_statement(node)
        try:
            response = await self.send(attempts, node, sent_statement)
        except BaseException as error:
            attempts.attempt_ended(node, error)
            code = getattr(error, "code", ErrorCode.CANCELLED)
            now = self.clock.monotonic()
            apply_failure(attempts, self.directory, node, error, now, (now - started) * 1000)
            message = getattr(error, "message", "")
            self.record_statement(node, getattr(error, "report", None), sent_statement)
            await self.detect_crash(attempts, node, error, started)
            self.record_decision(attempts, node, started, str(code), message, believed)
            raise
        attempts.attempt_ended(node)
        self.record_statement(node, response.report, sent_statement)
        now = self.clock.monotonic()
        self.record_decision(attempts, node, started, ANSWERED, str(response.status), believed)
        selector.answered(
            node,
            response.report,
            (now - started) * 1000,
            not response.is_server_error,
            now,
            served_ms=response.served_ms,
            kind=attempts.settings.route,
            work_ms=response.work_ms,
        )
        return response

    def known_statement(self, node: str) -> ServerStatement | None:
        """Return the last known statement of a node's backend server."""
        if not self.statements:
            return None
        member = self.directory.find(node)
        return None if member is None else self.statements.get(member.peer_address)

    def record_statement(
        self, node: str, report: LoadReport | None, sent_statement: ServerStatement | None
    ) -> None:
        """Record the backend server's statement in a node's report."""
        if report is None or not (self.statements or report.statement):
            return
        member = self.directory.find(node)
        if member is not None and node != self.directory.self_member.node:
            self.statements.update(member, report, sent_statement)

    async def detect_crash(
        self, attempts: Attempts, node: str, error: BaseException, started: float
    ) -> None:
        """Find out whether a node crashed with the request before it is sent to another one."""
        lost = isinstance(error, UnknownOutcomeError) and error.code is ErrorCode.PEER_LOST
        member = self.directory.find(node) if lost else None
        if self.crash_detector is not None and member is not None:
            await self.crash_detector.report_lost_request(
                member, attempts.request, attempts.body, started
            )

    def record_decision(
        self,
        attempts: Attempts,
        node: str,
        started: float,
        outcome: str,
        detail: str,
        believed: dict[str, object],
    ) -> None:
        """Record the outcome of an attempt for ``explain`` and for the log."""
        request = attempts.request
        decision = Decision(
            self.clock.wall(),
            node,
            attempts.count,
            request.urgent,
            request.idempotent,
            outcome,
            detail,
            round((self.clock.monotonic() - started) * 1000, 1),
            believed,
        )
        attempts.state.decisions.append(decision)
        attempts.decisions.append(decision)

    def record_load_report(self, member: Member, report: LoadReport) -> None:
        """Record a load report that a member has published by itself."""
        try:
            # Even before the first request for the service: a node publishes only changes, so a
            # report dropped now would be missing until the next change.
            state = self.service_state(member.service)
        except MarjoramtideError:
            return  # the service is not in the settings, so no requests are sent to it
        state.selector.reported(member.node, report, self.clock.monotonic())
        self.record_statement(member.node, report, None)

    def explain(self, service: str) -> dict[str, list[dict[str, Any]]]:
        """Return the selector's estimates of a service's members, and the latest decisions.

        Raises ``unknown-service``.
        """
        state = self.service_state(service)
        return {
            "members": state.selector.explain(self.clock.monotonic()),
            "decisions": [attrs.asdict(decision) for decision in state.decisions],
        }

    async def send(
        self, attempts: Attempts, node: str, statement: ServerStatement | None
    ) -> Response:
        """Send the request to a node: by a local call if it is this node, else to its peer address.

        ``statement`` is the last known statement of the backend server there.
        """
        request = attempts.request
        with self.tracer.span("attempt", request.trace) as span:
            if span is not None:
                span.attributes |= {"to": node, "attempt": attempts.count}
                request = attrs.evolve(request, trace=span.traceparent(), attempt=attempts.count)
            elif attempts.count > 1:
                request = attrs.evolve(request, attempt=attempts.count)
            if node == self.directory.self_member.node:
                return await self.local_handler.handle(request, attempts.body)
            member = self.directory.find(node)
            if member is None:
                raise NotRunError(
                    ErrorCode.NO_CANDIDATE,
                    "the node has left the fleet",
                    step="ingress.send",
                    peer=node,
                )
            if statement is not None:
                request = attrs.evolve(request, statement=statement)
            return await self.peers.request(member.peer_address, request, attempts.body)
