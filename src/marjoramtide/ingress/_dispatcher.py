"""Choosing nodes for a request until there is one final answer."""

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
    Answer,
    LoadReport,
    NotRunError,
    Request,
    RequestBody,
    RequestFailedError,
    RequestHandler,
    ServerStatement,
    UnknownOutcomeError,
)
from marjoramtide.ingress._attempts import Attempts
from marjoramtide.ingress._decision import Decision
from marjoramtide.ingress._failure_lessons import learn_failure
from marjoramtide.ingress._hedge import Hedge
from marjoramtide.ingress._known_statements import KnownStatements
from marjoramtide.ingress._peer_ends import PeerEnds
from marjoramtide.ingress._service_state import ServiceState, make_service_state
from marjoramtide.ingress._start_up import StartUp
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
    """Sends each request to the node that the selector chooses, again where that is safe."""

    def __init__(
        self,
        directory: Directory,
        view: SettingsView,
        local: RequestHandler,
        peers: PeerClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        tracer: Tracer,
        start_up: StartUp | None = None,
        peer_ends: PeerEnds | None = None,
    ) -> None:
        """Without a ``start_up`` no request waits for members.

        Without ``peer_ends`` nobody looks whether a node has ended with what it served.
        """
        self.directory = directory
        self.view = view
        self.local = local
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.tracer = tracer
        self.states: dict[str, ServiceState] = {}
        self.statements = KnownStatements()
        self.splits: dict[tuple[str, str, Shares], SmoothSplit] = {}
        self.limits: set[asyncio.Timeout] = set()
        self.start_up = start_up or StartUp(clock)
        self.peer_ends = peer_ends
        view.on_change(self.settings_changed)

    def settings_changed(self, revision: int) -> None:
        """Forget what rests on settings that have changed, and keep what was learned otherwise.

        Without the latter each of hundreds of changes a day makes every node guess anew.
        """
        self.splits.clear()
        self.states = {
            service: state
            for service, state in self.states.items()
            if self.settings_of(service) == state.settings
        }

    def settings_of(self, service: str) -> RouteSettings | None:
        """Return the settings of the whole service, ``None`` where it was removed."""
        try:
            return self.view.route(service, "/")
        except MarjoramtideError:
            return None

    def state(self, service: str) -> ServiceState:
        """Return what is kept for a service, up to date with its members."""
        state = self.states.get(service)
        if state is None:
            settings = self.view.route(service, "/")
            state = make_service_state(settings, self.directory.self_member, self.rng)
            self.states[service] = state
        state.refresh(self.directory, self.clock.monotonic())
        return state

    def draw(self, settings: RouteSettings) -> str:
        """Return the service whose backend servers are to run the next request of a route."""
        # By the shares, too: a request that was read before a change may be drawn after it.
        name = (settings.service, settings.route, settings.split)
        split = self.splits.get(name)
        if split is None:
            split = self.splits[name] = make_smooth_split(settings.split, self.rng)
        return split.draw()

    async def dispatch(
        self, request: Request, body: RequestBody, settings: RouteSettings
    ) -> Answer:
        """Return the answer; raises ``NotRunError`` or ``UnknownOutcomeError`` as soon as known.

        Where the route shares its requests out, the part is drawn once and kept: what has no room
        there is refused, not moved, so that the parts keep the shares that the operator gave them.
        """
        if settings.split:
            request = attrs.evolve(request, service=self.draw(settings))
        attempts = Attempts(request, body, settings, self.state(request.service))
        now = self.clock.monotonic()
        attempts.budgets.retries.deposit(now)
        attempts.budgets.rejections.deposit(now)
        try:
            async with self.time_limit(max(0.0, request.deadline - now)):
                await self.start_up.wait_until(
                    lambda: self.knows(request.service) and self.start_up.is_informed()
                )
                if request.idempotent and body.inline is not None:
                    attempts.budgets.hedges.deposit(now)
                    answer = await self.try_hedged(attempts)
                else:
                    answer = await self.try_in_turn(attempts)
                answer.tries = attempts.story
                return answer
        except RequestFailedError as error:
            error.tries = attempts.story
            raise
        except TimeoutError as error:
            late = UnknownOutcomeError(
                ErrorCode.DEADLINE,
                "the deadline passed before the answer came",
                step="ingress.dispatch",
                retry_after_ms=attempts.state.selector.retry_after_ms(self.clock.monotonic()),
            )
            late.tries = attempts.story
            raise late from error

    @asynccontextmanager
    async def time_limit(self, seconds: float) -> AsyncIterator[None]:
        """Limit what is done inside to a time, which ``end_all`` may cut short."""
        async with asyncio.timeout(seconds) as limit:
            self.limits.add(limit)
            try:
                yield
            finally:
                self.limits.discard(limit)

    def end_all(self) -> None:
        """End all that is under way, as if each deadline had passed."""
        now = asyncio.get_running_loop().time()
        for limit in self.limits:
            if not limit.expired():
                limit.reschedule(now)

    def knows(self, service: str) -> bool:
        """Tell whether any node is known that may take work of a service."""
        return bool(self.directory.members_of(service))

    async def try_in_turn(self, attempts: Attempts) -> Answer:
        """Try one node after the other."""
        while True:
            node = self.choose(attempts)
            if node is None:
                raise attempts.final_error(self.clock.monotonic())
            try:
                return await self.attempt(attempts, node)
            except RequestFailedError as error:
                attempts.note(error)
                now = self.clock.monotonic()
                if not attempts.may_retry(error, now):
                    raise attempts.final_error(now) from error

    async def try_hedged(self, attempts: Attempts) -> Answer:
        """Try nodes, a second one beside the first where that one is slow; the loser is cancelled.

        Only for idempotent requests whose body can be sent again.
        """
        first = self.choose(attempts)
        if first is None:
            raise attempts.final_error(self.clock.monotonic())
        delay_ms = attempts.state.selector.hedge_delay_ms(
            first, self.clock.monotonic(), self.profile(attempts)
        )
        delay_s = None if delay_ms is None else delay_ms / 1000
        hedge = Hedge(
            start=lambda: self.start_hedge(attempts, hedge),
            failed=lambda task: self.go_on(attempts, hedge, task.exception() or task.result()),
        )
        try:
            ended = await hedge.first(self.attempt(attempts, first), delay_s)
            if self.go_on(attempts, hedge, ended):
                return attempts.take_answer()
            return await self.await_others(attempts, hedge, None if hedge.started else delay_s)
        finally:
            if hedge.running or attempts.answers:
                await self.cancel_all(hedge.running, attempts)

    async def await_others(self, attempts: Attempts, hedge: Hedge, delay_s: float | None) -> Answer:
        """Wait for what runs after the first try has failed."""
        while hedge.running:
            done, _ = await asyncio.wait(
                hedge.running, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                delay_s = None
                self.start_hedge(attempts, hedge)
                continue
            for task in done:
                hedge.running.discard(task)
                if self.go_on(attempts, hedge, task.exception() or task.result()):
                    return attempts.take_answer()
        if attempts.answers:
            return attempts.take_answer()
        raise attempts.final_error(self.clock.monotonic())

    def start_hedge(self, attempts: Attempts, hedge: Hedge) -> None:
        """Begin a second try beside one that takes long, within the budget."""
        now = self.clock.monotonic()
        if not attempts.may_ask():
            return
        if attempts.state.may_hedge(now) and attempts.budgets.hedges.withdraw(now):
            self.metrics.count("ingress.hedges")
            self.start_another(attempts, hedge)

    def go_on(self, attempts: Attempts, hedge: Hedge, ended: Answer | BaseException) -> bool:
        """Take the end of a try; tell whether it is final, else begin another where allowed."""
        failure = attempts.settle(ended)
        if failure is None:
            return True
        if attempts.may_retry(failure, self.clock.monotonic()):
            self.metrics.count("ingress.retries")
            self.start_another(attempts, hedge)
        return False

    def start_another(self, attempts: Attempts, hedge: Hedge) -> None:
        """Begin a try at another node, where there is one."""
        node = self.choose(attempts)
        if node is not None:
            hedge.add(self.attempt(attempts, node))

    async def cancel_all(self, running: "set[asyncio.Task[Answer]]", attempts: Attempts) -> None:
        """Cancel the tries that lost, and close what they may have brought all the same."""
        for task in running:
            task.cancel()
        for ended in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(ended, Answer):
                await ended.close()
        for answer in attempts.answers:
            await answer.close()

    def choose(self, attempts: Attempts) -> str | None:
        """Return a node that was not tried yet, and count the try."""
        profile = self.profile(attempts)
        now = self.clock.monotonic()
        # Also between the tries of one request: whoever has come since its beginning may be the
        # only one left, as where the server that queued it leaves when its successor is up.
        attempts.state.refresh(self.directory, now)
        node = attempts.state.selector.choose(profile, now, attempts.excluded)
        if node is None and attempts.rejected_by:
            # A node may turn a first try away because others probably have room. Where there is
            # no other, the request would be refused though it could be served in time; a second
            # try is judged by the node's room alone.
            attempts.excluded -= attempts.rejected_by
            node = attempts.state.selector.choose(profile, now, attempts.excluded)
        if node is None and attempts.slowed:
            node = self.choose_to_wait(attempts, profile, now)
        if node is not None:
            attempts.excluded.add(node)
            attempts.count += 1
        return node

    def choose_to_wait(self, attempts: Attempts, profile: CallProfile, now: float) -> str | None:
        """Return the best of the nodes that refused for their servers' pace alone, once.

        Failure: the only server of a service that is left is slow for some tenths of a second. It
        has room, but turns first tries away, since others may be quick, and nobody asks again. A
        second try waits there until the server is quick, or is told that it would be too late.
        """
        others = {member.node for member in attempts.state.members} - attempts.slowed
        attempts.slowed.clear()
        patient = attrs.evolve(profile, goal=math.inf)
        return attempts.state.selector.choose(patient, now, others)

    def profile(self, attempts: Attempts) -> CallProfile:
        """Return what the selector sees of a request."""
        request = attempts.request
        route = attempts.settings.route
        return make_call_profile(request, request.deadline, attempts.count + 1, route)

    async def attempt(self, attempts: Attempts, node: str) -> Answer:
        """Send the request to one node, and let the selector learn from what becomes of it."""
        selector = attempts.state.selector
        started = self.clock.monotonic()
        # Taken now, since the log is to tell what the choice rested on, not what came of it.
        believed = selector.node_snapshot(node, started)
        selector.sent(node, started)
        attempts.began(node, started)
        sent = self.known_statement(node)
        try:
            answer = await self.send(attempts, node, sent)
        except BaseException as error:
            attempts.ended(node, error)
            code = getattr(error, "code", ErrorCode.CANCELLED)
            now = self.clock.monotonic()
            learn_failure(attempts, self.directory, node, error, now, (now - started) * 1000)
            message = getattr(error, "message", "")
            self.note_statement(node, getattr(error, "report", None), sent)
            await self.look_for_end(attempts, node, error, started)
            self.note_decision(attempts, node, started, str(code), message, believed)
            raise
        attempts.ended(node)
        self.note_statement(node, answer.report, sent)
        now = self.clock.monotonic()
        self.note_decision(attempts, node, started, ANSWERED, str(answer.status), believed)
        selector.answered(
            node,
            answer.report,
            (now - started) * 1000,
            not answer.is_server_error,
            now,
            served_ms=answer.served_ms,
            kind=attempts.settings.route,
            work_ms=answer.work_ms,
        )
        return answer

    def known_statement(self, node: str) -> ServerStatement | None:
        """Return what is known that the backend server beside a node has said that it takes."""
        if not self.statements:
            return None
        member = self.directory.find(node)
        return None if member is None else self.statements.of(member.peer_address)

    def note_statement(
        self, node: str, report: LoadReport | None, sent: ServerStatement | None
    ) -> None:
        """Keep what a node's report says that its backend server takes."""
        if report is None or not (self.statements or report.statement):
            return
        member = self.directory.find(node)
        if member is not None and node != self.directory.self_member.node:
            self.statements.note(member, report, sent)

    async def look_for_end(
        self, attempts: Attempts, node: str, error: BaseException, started: float
    ) -> None:
        """Find out whether a node has ended with the request, before that is tried elsewhere."""
        lost = isinstance(error, UnknownOutcomeError) and error.code is ErrorCode.PEER_LOST
        member = self.directory.find(node) if lost else None
        if self.peer_ends is not None and member is not None:
            await self.peer_ends.note_lost(member, attempts.request, attempts.body, started)

    def note_decision(
        self,
        attempts: Attempts,
        node: str,
        started: float,
        outcome: str,
        detail: str,
        believed: dict[str, object],
    ) -> None:
        """Keep what became of a try for ``explain``."""
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
        attempts.story.append(decision)

    def note_report(self, member: Member, report: LoadReport) -> None:
        """Take in the load of a member that has published it unasked."""
        try:
            # Also before the first request for the service: a node tells of changes alone, so what
            # is passed over now is not heard again until the next one.
            state = self.state(member.service)
        except MarjoramtideError:
            return  # the settings don't know the service, so nothing is asked of it either
        state.selector.reported(member.node, report, self.clock.monotonic())
        self.note_statement(member.node, report, None)

    def explain(self, service: str) -> dict[str, list[dict[str, Any]]]:
        """Return what is believed of each member of a service, and the last decisions.

        Raises ``unknown-service``.
        """
        state = self.state(service)
        return {
            "members": state.selector.explain(self.clock.monotonic()),
            "decisions": [attrs.asdict(decision) for decision in state.decisions],
        }

    async def send(
        self, attempts: Attempts, node: str, statement: ServerStatement | None
    ) -> Answer:
        """Send the request to a node: by a call where it is this one, else by its peer address.

        ``statement`` is what is known of the backend server there.
        """
        request = attempts.request
        with self.tracer.span("attempt", request.trace) as span:
            if span is not None:
                span.attributes |= {"to": node, "attempt": attempts.count}
                request = attrs.evolve(request, trace=span.header(), attempt=attempts.count)
            elif attempts.count > 1:
                request = attrs.evolve(request, attempt=attempts.count)
            if node == self.directory.self_member.node:
                return await self.local.handle(request, attempts.body)
            member = self.directory.find(node)
            if member is None:
                raise NotRunError(
                    ErrorCode.NO_CANDIDATE, "the node has left", step="ingress.send", peer=node
                )
            if statement is not None:
                request = attrs.evolve(request, statement=statement)
            return await self.peers.request(member.peer_address, request, attempts.body)
