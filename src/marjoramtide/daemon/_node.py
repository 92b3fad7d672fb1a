"""One node: its parts, their start and their planned stop."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs
import structlog

from marjoramtide import process_began_at
from marjoramtide.claims import (
    make_claim_cleaner,
    make_claims,
)
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.daemon._gauges import node_gauges
from marjoramtide.daemon._node_news import NodeNews
from marjoramtide.daemon._operators import make_node_handle
from marjoramtide.daemon._own_server import OwnServer
from marjoramtide.daemon._planned_stop import stop_as_planned
from marjoramtide.daemon._supervision import keep_running
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.evacuation import make_evacuations
from marjoramtide.ingress import (
    Authenticator,
    Dispatcher,
    Ingress,
    NestedCalls,
    PeerCrashDetector,
    StartupGrace,
)
from marjoramtide.interface import Interface, default_interface
from marjoramtide.membership import Member, MemberState, make_membership
from marjoramtide.operators import make_operators_app
from marjoramtide.peers import (
    PeerClient,
    PeerControlChannel,
    PeerServer,
)
from marjoramtide.quarantine import make_quarantine
from marjoramtide.quota import make_quota_service
from marjoramtide.serving import (
    HttpTransport,
    IdempotencyKeyDispatcher,
    ServingService,
)
from marjoramtide.settings import NodeSettings, parse_address
from marjoramtide.settings.sync import make_settings_service
from marjoramtide.sockets import AppServer
from marjoramtide.store import open_object_store
from marjoramtide.telemetry import (
    Metrics,
    Tracer,
    make_metrics_app,
    summarise_logs,
)
from marjoramtide.witness import RunTeller, RunWitness

log = structlog.get_logger()

# Until the settings say how many connections the backend server takes.
FIRST_CONNECTIONS = 10
# Keys of the settings file that are taken over while the node runs.
RELOADED = frozenset(("bounds", "base_tree", "stop_grace_s"))


class Node:
    """Owns the parts of a node; each part owns its sockets and its state."""

    def __init__(
        self,
        settings: NodeSettings,
        interface: Interface | None = None,
        began_at: float = process_began_at,
    ) -> None:
        """``began_at`` is when the process began, in seconds of the monotonic clock."""
        self.settings = settings
        self.interface = interface = interface or default_interface()
        self.stop_grace_s = interface.stop_grace_s or settings.stop_grace_s
        self.clock = SystemClock()
        rng = self.rng = random.Random()
        self.store = open_object_store(
            settings.store, clock=self.clock, rng=rng, protocol=interface.store
        )
        self.freeze = FreezeDetector(self.clock)
        self.membership = make_membership(settings, self.store, self.clock, random.SystemRandom())
        self.name = self.membership.self_member.node
        self.metrics = Metrics(settings.statsd)
        self.tracer = Tracer(self.name, self.clock, rng, settings.trace_file)
        self.transport = HttpTransport(settings.backend, FIRST_CONNECTIONS, interface.backend)
        self.claims = make_claims(self.store, self.clock, self.name)
        self.peer_client = PeerClient(settings.key, self.clock)
        self.peer_server = PeerServer(settings.key, self.clock, self.freeze)
        control = PeerControlChannel(self.peer_client, self.peer_server)
        self.settings_service = make_settings_service(
            settings,
            self.store,
            self.membership,
            control,
            self.clock,
            rng,
            self.freeze,
            interface.tree,
        )
        self.view = self.settings_service.view
        follower = self.settings_service.follower
        self.evacuations = follower.side_news = make_evacuations(
            self.store,
            interface.evacuations,
            self.membership,
            self.membership.publish,
            self.clock,
            rng,
            follower.is_watcher,
            interface.tree.is_ours,
            self.evacuations_changed,
        )
        self.claim_gate = IdempotencyKeyDispatcher(self.claims, self.view, self.clock)
        self.quarantine = make_quarantine(
            settings.key, self.membership, self.membership.publish, self.clock, rng, self.metrics
        )
        self.run_teller = RunTeller(
            self.membership,
            self.peer_client,
            self.quarantine.vouches_for,
            self.clock,
            rng,
            self.metrics,
        )
        self.serving = ServingService(
            settings.service,
            self.transport,
            self.claim_gate,
            self.view,
            self.clock,
            self.metrics,
            self.tracer,
            self.quarantine,
            began_at,
            self.run_teller,
        )
        self.peer_server.handler = self.serving
        if interface.runs is not None:
            interface.runs.listener = self.serving.running
        self.server = OwnServer(
            self.serving,
            self.transport,
            interface,
            self.clock,
            self.freeze,
            self.metrics,
            self.update_state,
            lambda: self.settings_changed(self.view.revision),
        )
        self.quarantine.held_listener = self.serving.reject_quarantined
        self.start_up = StartupGrace(self.clock, self.freeze, is_quarantine_known=self.is_informed)
        self.quarantine.spreader.informed_listener = self.start_up.notify
        self.peer_ends = PeerCrashDetector(
            self.peer_client,
            self.clock,
            self.metrics,
            self.quarantine.fingerprint,
            self.quarantine.node_ended,
        )
        self.peer_server.run_listener = RunWitness(self.membership, self.peer_ends)
        self.dispatcher = Dispatcher(
            self.membership,
            self.view,
            self.serving,
            self.peer_client,
            self.clock,
            rng,
            self.metrics,
            self.tracer,
            self.start_up,
            self.peer_ends,
        )
        self.quotas = make_quota_service(
            self.view,
            self.membership,
            self.membership.publish,
            self.clock,
            rng,
            self.metrics,
            lambda: self.membership.announced_count,
        )
        self.ingress = Ingress(
            self.name,
            self.view,
            self.dispatcher,
            self.clock,
            self.metrics,
            self.tracer,
            interface.callers,
            self.start_up,
            Authenticator(
                self.view,
                interface.callers.scheme,
                NestedCalls(interface.runs or self.serving.running),
            ),
            self.quotas,
        )
        self.news = NodeNews(
            self.membership,
            self.dispatcher,
            self.quarantine,
            self.evacuations,
            self.claims,
            self.quotas,
            rng,
        )
        self.membership.on_bulletin(self.news.take)
        self.membership.relay_targets = self.news.passed_on_to
        self.serving.load_listener = self.news.tell_load
        self.claims.replicate_claim = self.news.tell_claim
        self.drained_by_operator = False
        self.app_servers = self.make_app_servers()
        self.stopping = False
        self.serving_ended = False
        self.stop_asked = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.view.on_change(self.settings_changed)
        self.membership.on_change(self.member_changed)
        self.membership.on_change(self.quarantine.member_changed)
        self.view.on_change(lambda revision: self.start_up.notify())
        self.membership.on_change(lambda member: self.start_up.notify())

    async def start(self) -> None:
        """Open every port and begin every task."""
        settings = self.settings
        try:
            await self.peer_server.start(*parse_address(settings.peers))
            await self.membership.start()
            self.start_up.begin()
            await self.ingress.start(*parse_address(settings.callers))
            for address, server in self.app_servers.items():
                await server.start(*parse_address(address))
        except OSError as error:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS, f"can't listen: {error}", step="daemon.start"
            ) from error
        works: dict[str, Callable[[], Awaitable[None]]] = {
            "freeze": self.freeze.run,
            "settings": self.settings_service.run,
            "measurer": self.server.measurer.run,
            "metrics": self.metrics.run,
            "logs": summarise_logs,
            "quarantine": self.quarantine.run,
            "run teller": self.run_teller.run,
            "evacuations": self.evacuations.run,
        }
        if self.interface.uses_idempotency_keys:
            works |= self.claim_works()
        for name, work in works.items():
            self.spawn(keep_running(name, work, self.clock, self.metrics))
        log.info("daemon.started", callers=settings.callers, peers=settings.peers)

    def claim_works(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what settles and cleans the claims of idempotency keys.

        Where no keys are sent, each node would list claims that are never made once in ten seconds:
        among twelve nodes the most calls of a calm minute.
        """
        cleaner = make_claim_cleaner(
            self.store, self.clock, fleet_size=lambda: len(self.membership.members())
        )
        return {"claims": self.claims.run, "claim cleaner": cleaner.run}

    def make_app_servers(self) -> dict[str, AppServer]:
        """Return the small HTTP servers of this node by their addresses."""
        settings = self.settings
        operators = make_operators_app(make_node_handle(self))
        servers = {settings.operators: AppServer("operators", operators)}
        if settings.metrics:
            app = make_metrics_app(self.metrics, self.refresh_gauges)
            servers[settings.metrics] = AppServer("metrics", app)
        if self.interface.readiness_app is not None and settings.readiness:
            app = self.interface.readiness_app(self.takes_callers)
            servers[settings.readiness] = AppServer("readiness", app)
        if self.interface.registration_app is not None and self.server.registrar is not None:
            app = self.interface.registration_app(self.server.registrar)
            servers[settings.registration] = AppServer("registration", app)
        return servers

    def refresh_gauges(self) -> None:
        """Set what is a state rather than a count, for whoever reads the metrics."""
        for name, level in node_gauges(self).items():
            self.metrics.gauge(name, float(level))

    def takes_callers(self) -> bool:
        """Tell whether callers may be sent to this node."""
        return self.view.revision > 0 and self.view.is_current and not self.stopping

    def is_informed(self) -> bool:
        """Tell whether this node has heard what is held back, or nobody is there to tell it."""
        return self.quarantine.spreader.is_informed or self.membership.is_alone

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a task of the node for as long as the node runs."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)

    def task_ended(self, task: "asyncio.Task[Any]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                "daemon.task_failed",
                code=ErrorCode.INTERNAL,
                task=repr(task.get_coro()),
                exc_info=task.exception(),
            )

    def settings_changed(self, revision: int) -> None:
        """Put a new revision of the shared settings into force in this node's own parts."""
        try:
            settings = self.view.route(self.settings.service, "/")
        except MarjoramtideError as error:
            log.warning("daemon.no_service", code=error.code, reason=error.message)
            return
        if self.server.slots is not None:
            settings = attrs.evolve(settings, slots=self.server.slots)
        self.serving.open(settings)
        self.server.configure(settings)
        self.quarantine.configure(settings)
        self.update_state()

    def evacuations_changed(self, data_centres: frozenset[str]) -> None:
        """Send nothing to backend servers of evacuated data centres, nor give the own one any."""
        self.membership.set_evacuated(data_centres)
        self.serving.set_evacuated(self.settings.data_centre in data_centres)
        self.update_state()
        # What waits for members may be refused at once now, or have somewhere to go.
        self.start_up.notify()

    def drain(self, drained: bool) -> None:
        """Stop or resume taking new work, on an operator's word."""
        self.drained_by_operator = drained
        self.update_state()

    def update_state(self) -> None:
        """Tell the admission and the other nodes whether this one takes new work.

        The admission rejects at once, whatever the others still believe, so a leaving backend
        server gets nothing new however slowly the word spreads.
        """
        opened = self.serving.is_open and self.server.is_known
        is_able = (
            opened
            and self.server.is_ready
            and not self.drained_by_operator
            and not self.serving_ended
        )
        # A member in an evacuated data centre stays ready: all know the evacuation, and its end
        # brings all these servers back at one moment, without news of each.
        self.serving.set_accepting(is_able and not self.serving.is_evacuated)
        if self.serving_ended:
            state = MemberState.LEAVING
        elif is_able:
            state = MemberState.READY
        else:
            state = MemberState.DRAINING if opened else MemberState.STARTING
        if state is not self.membership.self_member.state:
            log.info("daemon.state", state=state, backend=self.server.state)
            self.membership.set_state(state)

    def member_changed(self, member: Member) -> None:
        """Close the connections to a node that is known to be dead."""
        own = member.node == self.name
        if own and member.state is MemberState.DEAD and not self.stopping:
            # Another process has this node's address: the platform replaced an instance that was
            # only frozen or cut off. Nobody would send here any more, yet callers that still reach
            # this one would be served beside the fleet's knowledge, by settings of their own.
            log.error("daemon.superseded", code=ErrorCode.PEER_REFUSED, step="daemon.membership")
            self.stop_asked.set()
        elif member.state is MemberState.DEAD and not own:
            self.spawn(self.peer_client.drop(member.peer_address))

    def reload(self, settings: NodeSettings, interface: Interface) -> None:
        """Go on by a changed settings file, as far as that is possible without a new start.

        Addresses, places and keys belong to sockets and identities that others know; a change of
        one is told in the log, and waits for the next start.
        """
        before = attrs.asdict(self.settings)
        changed = sorted(
            key for key, value in attrs.asdict(settings).items() if value != before[key]
        )
        waiting = [key for key in changed if key not in RELOADED]
        self.stop_grace_s = interface.stop_grace_s or settings.stop_grace_s
        self.interface = attrs.evolve(
            self.interface,
            stop_grace_s=interface.stop_grace_s,
            stop_linger_s=interface.stop_linger_s,
        )
        self.settings_service.follower.trees.source = interface.tree
        self.settings = attrs.evolve(
            self.settings, **{key: getattr(settings, key) for key in changed if key in RELOADED}
        )
        log.info(
            "daemon.reloaded",
            step="daemon.reload",
            changed=[key for key in changed if key in RELOADED],
            waiting_for_restart=waiting,
        )

    def has_substitutes(self) -> bool:
        """Tell whether other nodes take work of the service that this one serves."""
        own = self.membership.self_member
        members = self.membership.members_of(own.service)
        return any(member.node != own.node for member in members)

    def end_serving(self) -> None:
        """Take no new work for the own backend server, and pass on what waits for it."""
        self.serving_ended = True
        self.update_state()
        if self.has_substitutes():
            self.serving.reject_queued()

    async def stop(self) -> None:
        """Refuse what is new, finish what is in progress, then leave."""
        await stop_as_planned(self)

    async def close(self) -> None:
        """End all tasks and close all sockets."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(server.close() for server in self.app_servers.values()))
        await self.peer_server.close()
        await self.peer_client.close()
        await self.serving.close()
        self.evacuations.close()
        await self.store.close()
