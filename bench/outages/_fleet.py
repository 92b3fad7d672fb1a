"""Nodes in virtual time, and what passes between them."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from bench.model._model_directory import ModelDirectory
from bench.model._virtual_loop import LoopClock
from bench.outages._virtual_store import VirtualObjectStore
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.evacuation import EvacuationService, is_store_bulletin, make_evacuation_service
from marjoramtide.membership import Member, MemberState
from marjoramtide.peers import ControlChannel
from marjoramtide.platform._configuration import OperatorConfiguration
from marjoramtide.platform._interface import EVACUATION_PREFIX
from marjoramtide.settings import NodeSettings
from marjoramtide.settings.sync import SettingsService, make_settings_service
from marjoramtide.storecheck import StoreChecker, is_check_bulletin, make_store_checker
from standins.platform import PlatformStoreServer, StoreFault

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall")
SERVICE = "mapdesk"
HOST_NAME = "shop.example"
WATCHERS = 2
# For how long a node may accept keys without a proof that its settings are the newest, in seconds.
REVOCATION_S = 5.0
# Delays in seconds: of a message between nodes, and until gossip has brought a member's new state.
MESSAGE_S = (0.0005, 0.003)
GOSSIP_S = (0.01, 0.25)


class GossipingDirectory(ModelDirectory):
    """The members that a node knows; ``spread`` brings its own new state to the others."""

    def __init__(self, own: Member, spread: Callable[[Member], None]) -> None:
        super().__init__(own, lambda node: None)
        self.spread = spread

    def set_settings(self, revision: int, digest: str) -> None:
        self.own = attrs.evolve(
            self.own, revision=revision, digest=digest, incarnation=self.own.incarnation + 1
        )
        self.apply_update(self.own)
        self.spread(self.own)


@attrs.define(eq=False)
class FleetChannel(ControlChannel):
    """Brings questions straight to the handlers of other nodes."""

    fleet: "OutageFleet"
    handlers: dict[str, Callable[[dict[str, Any]], Any]] = attrs.Factory(dict)

    async def ask(
        self,
        address: str,
        subject: str,
        body: dict[str, Any],
        *,
        timeout: float = 2.0,
        small: bool = False,
    ) -> dict[str, Any]:
        await asyncio.sleep(self.fleet.rng.uniform(*MESSAGE_S))
        other = self.fleet.nodes.get(address)
        if other is None:
            raise MarjoramtideError(ErrorCode.PEER_LOST, "no such node", step="ask", peer=address)
        answer: dict[str, Any] = await other.channel.handlers[subject](body)
        await asyncio.sleep(self.fleet.rng.uniform(*MESSAGE_S))
        return answer

    def register_handler(self, subject: str, handler: Any) -> None:
        self.handlers[subject] = handler


@attrs.define(eq=False)
class OutageNode:
    """The services of one node that depend on the store."""

    directory: GossipingDirectory
    channel: FleetChannel
    store: VirtualObjectStore
    settings: SettingsService
    evacuations: EvacuationService
    checker: StoreChecker

    @property
    def reads_store(self) -> bool:
        """Return whether this node watches the store or made the last check."""
        follower = self.settings.follower
        return follower.is_watcher() or self.checker.schedule.is_checker

    def handle(self, sender: Member, fields: list[Any]) -> None:
        """Handle a bulletin as a node does."""
        if is_store_bulletin(fields):
            self.evacuations.merge_state(fields, sender.node)
        elif is_check_bulletin(fields):
            self.checker.handle_bulletin(sender, fields)


class OutageFleet:
    """Nodes that share a store; ``loss`` is the share of datagrams that are lost."""

    def __init__(
        self, size: int, seed: int, loss: float, has_checks: bool = True, has_keys: bool = False
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock: Clock = LoopClock(self.loop)
        self.rng = random.Random(seed)
        self.loss = loss
        self.base_tree = {"watchers": WATCHERS} | (
            {"revocation_s": REVOCATION_S} if has_keys else {}
        )
        self.counts: Counter[str] = Counter()
        self.refusing_s = 0.0
        self.server = PlatformStoreServer()
        self.revision = 0
        self.configure()
        members = [make_member(number) for number in range(size)]
        self.nodes = {member.peer_address: self.make_node(member) for member in members}
        for node in self.nodes.values():
            node.directory.known |= {member.node: member for member in members}
        self.tasks = [
            asyncio.ensure_future(run())
            for node in self.nodes.values()
            for run in (
                node.settings.run,
                node.evacuations.run,
                *((node.checker.run,) if has_checks else ()),
            )
        ]

    def make_node(self, member: Member) -> OutageNode:
        rng = random.Random(self.rng.getrandbits(64))
        directory = GossipingDirectory(member, self.spread)
        channel = FleetChannel(self)
        store = VirtualObjectStore(self.server, self.clock, rng, self.counts)
        settings = make_settings_service(
            node_settings(member),
            store,
            directory,
            channel,
            self.clock,
            rng,
            source=OperatorConfiguration(self.base_tree),
        )
        follower = settings.follower

        def publish(fields: list[Any], readers: Iterable[Member]) -> None:
            for reader in readers:
                self.send(member, fields, reader)

        follower.piggybacked_state = evacuations = make_evacuation_service(
            store,
            EVACUATION_PREFIX,
            directory,
            publish,
            self.clock,
            rng,
            follower.is_watcher,
            False,
            lambda names: None,
        )
        read_changes = (follower.read_changes, evacuations.read_changes)
        checker = make_store_checker(store, directory, publish, self.clock, rng, read_changes)
        return OutageNode(directory, channel, store, settings, evacuations, checker)

    # Between nodes

    def send(self, sender: Member, fields: list[Any], reader: Member) -> None:
        """Send a datagram, which may be lost."""
        self.counts["datagrams"] += 1
        if self.rng.random() >= self.loss:
            target = self.nodes[reader.peer_address]
            self.loop.call_later(self.rng.uniform(*MESSAGE_S), target.handle, sender, fields)

    def spread(self, member: Member) -> None:
        """Bring a member's new state to all other nodes."""
        for node in self.nodes.values():
            if node.directory.own.node != member.node:
                delay_s = self.rng.uniform(*GOSSIP_S)
                self.loop.call_later(delay_s, node.directory.apply_update, member)

    # The store

    def configure(self) -> None:
        """Write the next configuration, as the operator does."""
        self.revision += 1
        route = {
            "Name": "r-1",
            "Host": HOST_NAME,
            "PathPrefix": "/tiles/",
            "Kind": "idempotent",
            "TimeoutMs": 1000 + self.revision,
            "TargetLatencyMs": 300,
            "Priority": 1,
            "MaxAttempts": 2,
            "Service": SERVICE,
        }
        specification = {
            "Version": f"r{self.revision}",
            "Routes": [route],
            "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 100}],
        }
        self.server.state.put("config", "main", Specification=specification)

    def evacuate(self, name: str) -> None:
        """Evacuate a data centre, as the operator does."""
        self.server.state.put(EVACUATION_PREFIX.rstrip("/"), name, Specification={})

    def restore(self) -> None:
        """Restore the store from a copy of what it holds now."""
        self.server.state.restore(self.server.state.copy())

    def readers(self) -> list[OutageNode]:
        """Return the nodes that check or watch the store, who checks first."""
        readers = [node for node in self.nodes.values() if node.reads_store]
        return sorted(readers, key=lambda node: not node.checker.schedule.is_checker)

    def set_fault(self, nodes: Iterable[OutageNode], fault: StoreFault | None) -> None:
        for node in nodes:
            node.store.set_fault(fault)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for node in self.nodes.values():
            node.evacuations.close()


def make_member(number: int) -> Member:
    address = f"10.0.{number // 250}.{number % 250 + 1}:7104"
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return Member(
        f"node-{number}",
        SERVICE,
        "viti-west",
        data_centre,
        address,
        address,
        address,
        MemberState.READY,
    )


def node_settings(member: Member) -> NodeSettings:
    return NodeSettings(
        member.service,
        member.region,
        member.data_centre,
        *[member.peer_address] * 5,
        store="-",
        key="k" * 16,
    )
