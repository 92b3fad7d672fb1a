"""The node: its components, their start and their graceful shutdown."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs
import structlog

from marjoramtide import process_started_at
from marjoramtide.claims import (
    make_claim_cleaner,
    make_claims,
)
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.daemon._backend_server_monitor import BackendServerMonitor
from marjoramtide.daemon._gauges import node_gauges
from marjoramtide.daemon._graceful_shutdown import shut_down_gracefully
from marjoramtide.daemon._node_bulletins import NodeBulletins
from marjoramtide.daemon._operators import make_node_handle
from marjoramtide.daemon._supervision import supervise
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.evacuation import make_evacuation_service
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
from marjoramtide.quarantine import make_quarantine_service
from marjoramtide.quota import make_quota_service
from marjoramtide.serving import (
    HttpTransport,
    IdempotencyKeyDispatcher,
    ServingService,
)
from marjoramtide.settings import NodeSettings, parse_address
from marjoramtide.settings.sync import make_settings_service
from marjoramtide.sockets import AppServer, memory_shares
from marjoramtide.store import open_object_store
from marjoramtide.storecheck import make_store_checker
from marjoramtide.telemetry import (
    Metrics,
    Tracer,
    make_metrics_app,
    report_suppressed_lines,
)
from marjoramtide.witness import CrashWitness, WitnessReporter

log = structlog.get_logger()

# Connections to the backend server until the settings give their limit.
INITIAL_CONNECTIONS = 10
# Keys of the settings file that take effect without a restart.
RELOADABLE_KEYS = frozenset(("bounds", "base_tree", "stop_grace_s"))


class Node:
    """Owns the components of a node; each component owns its sockets and its state."""

    def __init__(
        self,
        settings: NodeSettings,
        interface: Interface | None = None,
        started_at: float = process_started_at,
    ) -> None:
        """``started_at`` is the start of the process on the monotonic clock, in seconds."""
        self.settings = settings
        self.interface = interface = interface or default_interface()
        self.stop_grace_s = interface.stop_grace_s or settings.stop_grace_s
        self.shares = memory_shares(settings.memory_mb)
        self.clock = SystemClock()
        rng = self.rng = random.Random()
        self.store = open_object_store(
            settings.store, clock=self.clock, rng=rng, protocol=interface.store
        )
        self.freeze_detector = FreezeDetector(self.clock)
        self.membership = make_membership(settings, self.store, self.clock, random.SystemRandom())
        self.name = self.membership.self_member.node
        self.metrics = Metrics(settings.statsd)
        self.tracer = Tracer(self.name, self.clock, rng, settings.trace_file)
        self.transport = HttpTransport(settings.backend, INITIAL_CONNECTIONS, interface.backend)
        self.claims = make_claims(self.store, self.clock, self.name)
        self.peer_client = PeerClient(settings.key, self.clock)
        self.peer_server = PeerServer(
            settings.key, self.clock, self.freeze_detector, self.shares.strangers()
        )
        control = PeerControlChannel(self.peer_client, self.peer_server)
        self.settings_service = make_settings_service(
            settings,
            self.store,
            self.membership,
            control,
            self.clock,
            rng,
            self.freeze_detector,
            interface.tree,
        )
        self.view = self.settings_service.view
        follower = self.settings_service.follower
        self.evacuations = follower.piggybacked_state = make_evacuation_service(
            self.store,
            interface.evacuations,
            self.membership,
            self.membership.publish,
            self.clock,
            rng,
            follower.is_watcher,
            interface.tree.is_writable,
            self.evacuations_changed,
        )
        self.store_checker = make_store_checker(
            self.store,
            self.membership,
            self.membership.publish,
            self.clock,
            rng,
            (follower.read_changes, self.evacuations.read_changes),
            self.membership.announcer.store_answered,
        )
        self.idempotency_dispatcher = IdempotencyKeyDispatcher(self.claims, self.view, self.clock)
        self.quarantine = make_quarantine_service(
            settings.key, self.membership, self.membership.publish, self.clock, rng, self.metrics
        )
        self.witness_reporter = WitnessReporter(
            self.membership,
            self.peer_client,
            self.quarantine.is_known_safe,
            self.clock,
            rng,
            self.metrics,
        )
        self.serving = ServingService(
            settings.service,
            self.transport,
            self.idempotency_dispatcher,
            self.view,
            self.clock,
            self.metrics,
            self.tracer,
            self.quarantine,
            started_at,
            self.witness_reporter,
        )
        self.peer_server.handler = self.serving
        if interface.runs is not None:
            interface.runs.listener = self.serving.running
        self.server = BackendServerMonitor(
            self.serving,
            self.transport,
            interface,
            self.clock,
            self.freeze_detector,
            self.metrics,
            self.update_state,
            lambda: self.settings_changed(self.view.revision),
        )
        self.quarantine.held_listener = self.serving.reject_quarantined
        self.startup_grace = StartupGrace(
            self.clock, self.freeze_detector, is_quarantine_known=self.is_quarantine_known
        )
        self.quarantine.disseminator.synced_listener = self.startup_grace.notify
        self.peer_crash_detector = PeerCrashDetector(
            self.peer_client,
            self.clock,
            self.metrics,
            self.quarantine.fingerprint,
            self.quarantine.node_crashed,
        )
        self.peer_server.in_flight_listener = CrashWitness(
            self.membership, self.peer_crash_detector
        )
        self.dispatcher = Dispatcher(
            self.membership,
            self.view,
            self.serving,
            self.peer_client,
            self.clock,
            rng,
            self.metrics,
            self.tracer,
            self.startup_grace,
            self.peer_crash_detector,
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
            self.startup_grace,
            Authenticator(
                self.view,
                interface.callers.scheme,
                NestedCalls(interface.runs or self.serving.running),
            ),
            self.quotas,
            self.shares.callers(),
        )
        self.bulletins = NodeBulletins(
            self.membership,
            self.dispatcher,
            self.quarantine,
            self.evacuations,
            self.store_checker,
            self.claims,
            self.quotas,
            rng,
        )
        self.membership.on_bulletin(self.bulletins.handle)
        self.membership.relay_targets = self.bulletins.relay_recipients
        self.serving.load_listener = self.bulletins.publish_load
        self.claims.replicate_claim = self.bulletins.publish_claim
        self.drained_by_operator = False
        self.app_servers = self.make_app_servers()
        self.is_stopping = False
        self.has_stopped_serving = False
        self.stop_requested = asyncio.Event()
        self.stop_signal_at: float | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.view.on_change(self.settings_changed)
        self.membership.on_change(self.member_changed)
        self.membership.on_change(self.quarantine.member_changed)
        self.view.on_change(lambda revision: self.startup_grace.notify())
        self.membership.on_change(lambda member: self.startup_grace.notify())

    async def start(self) -> None:
        """Open all ports and start all background tasks."""
        settings = self.settings
        try:
            await self.peer_server.start(*parse_address(settings.peers))
            await self.membership.start()
            self.startup_grace.begin()
            await self.ingress.start(*parse_address(settings.callers))
            for address, server in self.app_servers.items():
                await server.start(*parse_address(address))
        except OSError as error:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS, f"cannot listen: {error}", step="daemon.start"
            ) from error
        loops: dict[str, Callable[[], Awaitable[None]]] = {
            "freeze": self.freeze_detector.run,
            "settings": self.settings_service.run,
            "measurer": self.server.health_checker.run,
            "metrics": self.metrics.run,
            "logs": report_suppressed_lines,
            "quarantine": self.quarantine.run,
            "witness reporter": self.witness_reporter.run,
            "evacuations": self.evacuations.run,
            "store checks": self.store_checker.run,
        }
        if self.interface.uses_idempotency_keys:
            loops |= self.claim_tasks()
        for name, run in loops.items():
            self.spawn(supervise(name, run, self.clock, self.metrics))
        log.info("daemon.started", callers=settings.callers, peers=settings.peers)

    def claim_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that complete and expire claims of idempotency keys.

        They are omitted where no caller sends keys: each node would list the claims in the store
        once in ten seconds although there are none, which for twelve nodes was the largest share of
        store calls at low load.
        """
        cleaner = make_claim_cleaner(
            self.store, self.clock, fleet_size=lambda: len(self.membership.members())
        )
        return {"claims": self.claims.run, "claim cleaner": cleaner.run}

    def make_app_servers(self) -> dict[str, AppServer]:
        """Return the HTTP servers for operators, metrics, readiness and registration by address."""
        settings = self.settings
        operators = make_operators_app(make_node_handle(self))
        limits = self.shares.other_port()
        servers = {settings.operators: AppServer("operators", operators, limits)}
        if settings.metrics:
            app = make_metrics_app(self.metrics, self.refresh_gauges)
            servers[settings.metrics] = AppServer("metrics", app, limits)
        if self.interface.readiness_app is not None and settings.readiness:
            app = self.interface.readiness_app(self.accepts_callers)
            servers[settings.readiness] = AppServer("readiness", app, limits)
        if self.interface.registration_app is not None and self.server.registrar is not None:
            app = self.interface.registration_app(self.server.registrar)
            servers[settings.registration] = AppServer("registration", app, limits)
        return servers

    def refresh_gauges(self) -> None:
        """Set the gauges to their present values."""
        for name, level in node_gauges(self).items():
            self.metrics.gauge(name, float(level))

    def accepts_callers(self) -> bool:
        """Tell whether this node is ready for callers' requests, for its readiness check."""
        return self.view.revision > 0 and self.view.is_current and not self.is_stopping

    def is_quarantine_known(self) -> bool:
        """Tell whether the quarantine was received from another node, or there is no other node."""
        return self.quarantine.disseminator.is_synced or self.membership.is_alone

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task that is cancelled when the node closes."""
        task = asyncio.create_task(coroutine)
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
        """Apply a new revision of the settings tree to the components of this node."""
        try:
            settings = self.view.route(self.settings.service, "/")
        except MarjoramtideError as error:
            log.warning("daemon.service_not_in_settings", code=error.code, reason=error.message)
            return
        if self.server.slots is not None:
            settings = attrs.evolve(settings, slots=self.server.slots)
        self.serving.open(settings)
        self.server.configure(settings)
        self.quarantine.configure(settings)
        self.update_state()

    def evacuations_changed(self, data_centres: frozenset[str]) -> None:
        """Route no requests to evacuated data centres, and reject here if this is one of them."""
        self.membership.set_evacuated(data_centres)
        self.serving.set_evacuated(self.settings.data_centre in data_centres)
        self.update_state()
        # Requests that wait for members may now be routed, or rejected at once.
        self.startup_grace.notify()

    def drain(self, drained: bool) -> None:
        """Stop (true) or resume (false) accepting new requests, on an operator's command."""
        self.drained_by_operator = drained
        self.update_state()

    def update_state(self) -> None:
        """Update the admission and the member state that the other nodes see.

        The admission rejects at once, whatever state other nodes still hold, so a leaving backend
        server gets no new requests however slowly its state spreads.
        """
        is_initialized = self.serving.is_open and self.server.is_state_known
        can_serve = (
            is_initialized
            and self.server.is_ready
            and not self.drained_by_operator
            and not self.has_stopped_serving
        )
        # A member in an evacuated data centre stays READY: every node knows of the evacuation, and
        # when it ends all these servers are used again at once, with no state change of each.
        self.serving.set_accepting(can_serve and not self.serving.is_evacuated)
        if self.has_stopped_serving:
            state = MemberState.LEAVING
        elif can_serve:
            state = MemberState.READY
        else:
            state = MemberState.DRAINING if is_initialized else MemberState.STARTING
        if state is not self.membership.self_member.state:
            log.info("daemon.state", state=state, backend=self.server.state)
            self.membership.set_state(state)

    def member_changed(self, member: Member) -> None:
        """Close the connections to a dead node; stop if this node itself was declared dead."""
        is_self = member.node == self.name
        if is_self and member.state is MemberState.DEAD and not self.is_stopping:
            # Another process has this node's address: the platform replaced an instance that was
            # only frozen or partitioned. Other nodes send nothing here any more, but callers that
            # still reach this process would be served with outdated membership and settings.
            log.error("daemon.superseded", code=ErrorCode.PEER_REFUSED, step="daemon.membership")
            self.stop_requested.set()
        elif member.state is MemberState.DEAD and not is_self:
            self.spawn(self.peer_client.abort_links(member.peer_address))

    def reload(self, settings: NodeSettings, interface: Interface) -> None:
        """Apply a changed settings file, as far as that is possible without a restart.

        Addresses, locations and keys belong to open sockets and to the identity that other nodes
        know. Changes of these are logged as ``waiting_for_restart`` and have no effect until then.
        """
        before = attrs.asdict(self.settings)
        changed = sorted(
            key for key, value in attrs.asdict(settings).items() if value != before[key]
        )
        waiting = [key for key in changed if key not in RELOADABLE_KEYS]
        self.stop_grace_s = interface.stop_grace_s or settings.stop_grace_s
        self.interface = attrs.evolve(
            self.interface,
            stop_grace_s=interface.stop_grace_s,
            stop_linger_s=interface.stop_linger_s,
        )
        self.settings_service.follower.trees.source = interface.tree
        self.settings = attrs.evolve(
            self.settings,
            **{key: getattr(settings, key) for key in changed if key in RELOADABLE_KEYS},
        )
        log.info(
            "daemon.reloaded",
            step="daemon.reload",
            changed=[key for key in changed if key in RELOADABLE_KEYS],
            waiting_for_restart=waiting,
        )

    def record_stop_signal(self) -> None:
        """Record when the signal to stop came; the first one counts."""
        if self.stop_signal_at is None:
            self.stop_signal_at = self.clock.monotonic()

    def has_other_members(self) -> bool:
        """Tell whether other nodes accept requests of the service that this one serves."""
        own = self.membership.self_member
        members = self.membership.members_of(own.service)
        return any(member.node != own.node for member in members)

    def stop_serving(self) -> None:
        """Accept no new requests for the backend server; return queued ones to their senders."""
        self.has_stopped_serving = True
        self.update_state()
        if self.has_other_members():
            self.serving.reject_queued()

    async def stop(self) -> None:
        """Reject new requests, finish those in flight, then leave the membership."""
        await shut_down_gracefully(self)

    async def close(self) -> None:
        """Cancel all tasks and close all sockets."""
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
