"""A simulated node: the product's decision code without servers and connections."""

import asyncio
import random
from collections.abc import Callable

from bench.model._model_directory import ModelDirectory
from bench.model._model_peers import ModelPeers
from bench.model._model_server import ModelServer
from bench.model._model_settings import make_view
from bench.model._model_transport import ModelProtocol, ModelTransport
from bench.model._model_work import ModelWork
from bench.model._virtual_loop import LoopClock
from marjoramtide.exchange import (
    LoadReport,
    Request,
    RequestFailedError,
    Response,
    ServerStatement,
    inline_body,
)
from marjoramtide.ingress import Dispatcher, NestedCalls, StartupGrace
from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import StatementTracker
from marjoramtide.serving import (
    BackendState,
    HealthChecker,
    HealthCheckResult,
    ServerLoad,
    ServingService,
)
from marjoramtide.settings import Locality, RouteSettings
from marjoramtide.telemetry import Metrics, Tracer


class ModelNode:
    """Dispatches callers' requests and serves those for its own server.

    ``publish_report`` is called with each change of the server's slowdown.
    """

    def __init__(
        self,
        member: Member,
        server: ModelServer,
        work: ModelWork,
        tree_text: str,
        peers: ModelPeers,
        on_failure: Callable[[str], None],
        publish_report: Callable[["ModelNode", LoadReport], None],
        rng: random.Random,
    ) -> None:
        self.clock = LoopClock(asyncio.get_running_loop())
        self.server = server
        self.directory = ModelDirectory(member, on_failure)
        self.view = make_view(tree_text, Locality(member.region, member.data_centre), self.clock)
        self.metrics = Metrics()
        tracer = Tracer(member.node, self.clock, rng)
        self.statements = StatementTracker(member.node)
        self.transport = ModelTransport(server, work, self.note_load, self.note_statement)
        self.serving = ServingService(
            member.service, self.transport, None, self.view, self.clock, self.metrics, tracer
        )
        self.health_checker = HealthChecker(
            self.transport,
            self.clock,
            self.metrics,
            self.handle_backend_state,
            ModelProtocol(),
            self.note_health,
        )
        self.health_checker.preferred_check_at = self.serving.preferred_check_at
        self.serving.health_checker = self.health_checker
        self.serving.load_listener = lambda report: publish_report(self, report)
        startup_grace = StartupGrace(self.clock)
        startup_grace.begin()
        self.directory.on_change(lambda member: startup_grace.notify())
        self.dispatcher = Dispatcher(
            self.directory,
            self.view,
            self.serving,
            peers,
            self.clock,
            rng,
            self.metrics,
            tracer,
            startup_grace,
        )
        self.calls = NestedCalls(self.serving.running)
        settings = self.view.route(member.service, "/")
        self.serving.open(settings)
        self.health_checker.configure(settings)
        self.served_tasks: set[asyncio.Task[Response]] = set()
        self.is_up = True
        self.is_leaving = False
        self.health_task = asyncio.ensure_future(self.health_checker.run())

    @property
    def name(self) -> str:
        return self.directory.own.node

    @property
    def accepts_callers(self) -> bool:
        return self.is_up and not self.is_leaving

    def note_load(self, load: ServerLoad) -> None:
        self.serving.note_load(load)

    def note_statement(self, statement: ServerStatement, sent_at: float) -> None:
        previous = self.statements.statement
        self.statements.record_response(statement, sent_at, self.clock.monotonic())
        if self.statements.statement != previous:
            self.serving.note_statement(self.statements.statement, self.statements.since)

    def note_health(self, result: HealthCheckResult, checked_at: float) -> None:
        if result.load is not None:
            self.serving.note_load(result.load)

    def handle_backend_state(self, state: BackendState) -> None:
        ready = state is BackendState.READY and not self.is_leaving
        self.serving.set_accepting(ready)
        self.directory.set_state(MemberState.READY if ready else MemberState.DRAINING)

    def leave(self) -> None:
        """Take no new requests for the own server, as after its announcement that it is leaving."""
        self.is_leaving = True
        self.serving.set_accepting(False)
        self.serving.reject_queued()
        self.directory.set_state(MemberState.DRAINING)

    async def dispatch(self, request: Request, settings: RouteSettings) -> Response:
        """Dispatch a request that a caller sent to this node."""
        request = self.calls.inherit_from_parent(request) or request
        task = asyncio.ensure_future(self.dispatcher.dispatch(request, inline_body(), settings))
        self.served_tasks.add(task)
        task.add_done_callback(self.served_tasks.discard)
        try:
            return await task
        except RequestFailedError as error:
            self.calls.record_failure(request, error)
            raise

    def crash(self) -> None:
        """Stop at once and break off all requests in flight."""
        self.is_up = False
        self.health_task.cancel()
        for task in list(self.served_tasks):
            task.cancel()
