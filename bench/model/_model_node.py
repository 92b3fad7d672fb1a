"""One node of a played fleet: the product's parts that decide, and nothing else."""

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

    ``publish`` is called with each change of the server's pace.
    """

    def __init__(
        self,
        member: Member,
        server: ModelServer,
        work: ModelWork,
        text: str,
        peers: ModelPeers,
        failed: Callable[[str], None],
        publish: Callable[["ModelNode", LoadReport], None],
        rng: random.Random,
    ) -> None:
        self.clock = LoopClock(asyncio.get_running_loop())
        self.server = server
        self.directory = ModelDirectory(member, failed)
        self.view = make_view(text, Locality(member.region, member.data_centre), self.clock)
        self.metrics = Metrics()
        tracer = Tracer(member.node, self.clock, rng)
        self.statements = StatementTracker(member.node)
        self.transport = ModelTransport(server, work, self.note_load, self.note_statement)
        self.serving = ServingService(
            member.service, self.transport, None, self.view, self.clock, self.metrics, tracer
        )
        self.measurer = HealthChecker(
            self.transport,
            self.clock,
            self.metrics,
            self.backend_changed,
            ModelProtocol(),
            self.note_health,
        )
        self.measurer.preferred_check_at = self.serving.preferred_check_at
        self.serving.health_checker = self.measurer
        self.serving.load_listener = lambda report: publish(self, report)
        start_up = StartupGrace(self.clock)
        start_up.begin()
        self.directory.on_change(lambda member: start_up.notify())
        self.dispatcher = Dispatcher(
            self.directory,
            self.view,
            self.serving,
            peers,
            self.clock,
            rng,
            self.metrics,
            tracer,
            start_up,
        )
        self.calls = NestedCalls(self.serving.running)
        settings = self.view.route(member.service, "/")
        self.serving.open(settings)
        self.measurer.configure(settings)
        self.served: set[asyncio.Task[Response]] = set()
        self.is_up = True
        self.is_leaving = False
        self.looking = asyncio.ensure_future(self.measurer.run())

    @property
    def name(self) -> str:
        return self.directory.own.node

    @property
    def takes_callers(self) -> bool:
        return self.is_up and not self.is_leaving

    def note_load(self, load: ServerLoad) -> None:
        self.serving.note_load(load)

    def note_statement(self, said: ServerStatement, sent_at: float) -> None:
        before = self.statements.statement
        self.statements.record_response(said, sent_at, self.clock.monotonic())
        if self.statements.statement != before:
            self.serving.note_statement(self.statements.statement, self.statements.since)

    def note_health(self, reading: HealthCheckResult, asked_at: float) -> None:
        if reading.load is not None:
            self.serving.note_load(reading.load)

    def backend_changed(self, state: BackendState) -> None:
        ready = state is BackendState.READY and not self.is_leaving
        self.serving.set_accepting(ready)
        self.directory.set_state(MemberState.READY if ready else MemberState.DRAINING)

    def leave(self) -> None:
        """Take no new work for the own server, as once it has said that it leaves."""
        self.is_leaving = True
        self.serving.set_accepting(False)
        self.serving.reject_queued()
        self.directory.set_state(MemberState.DRAINING)

    async def dispatch(self, request: Request, settings: RouteSettings) -> Response:
        """Serve a request that entered here."""
        request = self.calls.inherit_from_parent(request) or request
        task = asyncio.ensure_future(self.dispatcher.dispatch(request, inline_body(), settings))
        self.served.add(task)
        task.add_done_callback(self.served.discard)
        try:
            return await task
        except RequestFailedError as error:
            self.calls.record_failure(request, error)
            raise

    def end(self) -> None:
        """End at once, with all that it serves."""
        self.is_up = False
        self.looking.cancel()
        for task in list(self.served):
            task.cancel()
