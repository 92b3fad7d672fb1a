"""Quota services of many nodes, and the simulated bulletins between them."""

import asyncio
import random
from collections.abc import Iterable
from typing import Any

import attrs
import cbor2

from bench.evacuation._evacuation_network import ENVELOPE_BYTES, make_member
from bench.model._model_directory import ModelDirectory
from bench.model._virtual_loop import LoopClock
from bench.quota._way import QuotaScheme
from marjoramtide.exchange import NotRunError, Request
from marjoramtide.membership import Member, MemberState
from marjoramtide.quota import QuotaService, make_quota_service
from marjoramtide.settings import Workspaces, WorkspaceSettings
from marjoramtide.telemetry import Metrics

LOCAL_DELAY_S = (0.0003, 0.001)
REMOTE_DELAY_S = (0.001, 0.006)
# Time until two nodes that start at the same time have discovered each other.
DISCOVERY_S = (0.1, 2.0)
# Time until the others declare an unresponsive node dead.
DETECTION_S = (2.0, 5.0)


@attrs.define(slots=True, eq=False)
class QuotaView:
    """The part of a node's settings that quotas need."""

    workspaces: Workspaces
    listeners: list[Any] = attrs.Factory(list)

    def on_change(self, listener: Any) -> None:
        self.listeners.append(listener)

    def change(self, workspaces: Workspaces) -> None:
        self.workspaces = workspaces
        for listener in self.listeners:
            listener(2)


class QuotaNetwork(QuotaScheme):
    """One quota service per node; a share ``loss`` of the datagrams is lost.

    With ``one_data_centre`` all nodes are in one data centre, so that a single node owns each
    quota. Nodes of different ``sides`` of a partition don't receive each other's datagrams. Nodes
    in ``suspended`` receive the datagrams of the meantime when they resume.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        loss: float,
        workspaces: Workspaces,
        one_data_centre: bool = False,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.loss = loss
        self.members = [make_member(number) for number in range(size)]
        if one_data_centre:
            self.members = [attrs.evolve(each, data_centre="one") for each in self.members]
        self.data_centres = [make_member(number).data_centre for number in range(size)]
        self.views = [QuotaView(workspaces) for _ in range(size)]
        self.directories: list[ModelDirectory] = []
        self.nodes: list[QuotaService] = []
        self.down: set[int] = set()
        self.sides: dict[int, int] = {}
        self.suspended: dict[int, list[Any]] = {}
        for number in range(size):
            self.directories.append(self.make_directory(number, self.members))
            self.nodes.append(self.make_node(number))

    def make_directory(self, number: int, known: Iterable[Member]) -> ModelDirectory:
        directory = ModelDirectory(self.members[number], lambda node: None)
        for member in known:
            directory.apply_update(member)
        return directory

    def make_node(self, number: int) -> QuotaService:
        def publish(fields: list[Any], readers: Iterable[Member]) -> None:
            for reader in readers:
                self.send(number, fields, int(reader.node.partition("~")[0]))

        return make_quota_service(
            self.views[number],  # type: ignore[arg-type]
            self.directories[number],
            publish,
            LoopClock(self.loop),
            random.Random(self.rng.getrandbits(64)),
            Metrics(),
            lambda: len(self.members),
        )

    def send(self, sender: int, fields: list[Any], target: int) -> None:
        size = len(cbor2.dumps(fields)) + ENVELOPE_BYTES
        is_remote = self.data_centres[sender] != self.data_centres[target]
        self.sent += 1
        self.sent_bytes += size
        self.crossed_bytes += size if is_remote else 0
        is_partitioned = self.sides.get(sender, 0) != self.sides.get(target, 0)
        if is_partitioned or sender in self.suspended or self.rng.random() < self.loss:
            return
        delay_s = self.rng.uniform(*(REMOTE_DELAY_S if is_remote else LOCAL_DELAY_S))
        self.loop.call_later(delay_s, self.deliver, sender, fields, target)

    def deliver(self, sender: int, fields: list[Any], target: int) -> None:
        if target in self.down:
            return
        if target in self.suspended:
            self.suspended[target].append((sender, fields))
            return
        self.nodes[target].take(self.members[sender], fields)

    async def admit(self, node: int, workspace: WorkspaceSettings) -> bool:
        if node in self.down or node in self.suspended:
            return False
        request = Request("s", "GET", "/", (), False, True, 0.0, 1, workspace=workspace.name)
        try:
            await self.nodes[node].admit(request)
        except NotRunError:
            return False
        return True

    # Faults

    def crash(self, number: int) -> None:
        """Crash a node; the others detect it after ``DETECTION_S``."""
        self.down.add(number)
        dead = attrs.evolve(self.members[number], state=MemberState.DEAD)
        for other in range(len(self.members)):
            if other != number:
                self.loop.call_later(
                    self.rng.uniform(*DETECTION_S), self.mark_dead, other, number, dead
                )

    def mark_dead(self, other: int, number: int, member: Member) -> None:
        is_partitioned = self.sides.get(other, 0) != self.sides.get(number, 0)
        if number in self.down or is_partitioned:
            self.directories[other].apply_update(member)

    def restart(self, number: int) -> None:
        """Restart a node without its state; it finds the members again."""
        self.down.discard(number)
        node_name = f"{number}~{self.rng.getrandbits(32):08x}"
        old = self.members[number]
        self.members[number] = attrs.evolve(old, node=node_name)
        up = [each for at, each in enumerate(self.members) if at not in self.down]
        self.directories[number] = self.make_directory(number, up)
        self.nodes[number] = self.make_node(number)
        dead = attrs.evolve(old, state=MemberState.DEAD)
        for other in range(len(self.members)):
            if other != number:
                delay_s = self.rng.uniform(0.05, 0.4)
                self.loop.call_later(delay_s, self.discover, other, self.members[number], dead)

    def restart_all(self) -> None:
        """Restart all nodes at once; each discovers each other one after ``DISCOVERY_S``."""
        self.down.clear()
        for number, old in enumerate(self.members):
            self.members[number] = attrs.evolve(
                old, node=f"{number}~{self.rng.getrandbits(32):08x}"
            )
            self.directories[number] = self.make_directory(number, ())
            self.nodes[number] = self.make_node(number)
        for observer in range(len(self.members)):
            for peer in range(len(self.members)):
                if observer != peer:
                    delay_s = self.rng.uniform(*DISCOVERY_S)
                    self.loop.call_later(
                        delay_s, self.directories[observer].apply_update, self.members[peer]
                    )

    def discover(self, other: int, member: Member, dead: Member) -> None:
        self.directories[other].apply_update(member)
        self.directories[other].apply_update(dead)

    def suspend(self, number: int, seconds: float) -> None:
        self.suspended[number] = []
        self.loop.call_later(seconds, self.resume, number)

    def resume(self, number: int) -> None:
        for sender, fields in self.suspended.pop(number):
            self.nodes[number].take(self.members[sender], fields)

    def partition(self, numbers: Iterable[int]) -> None:
        """Partition some nodes from the others; both sides detect it after ``DETECTION_S``."""
        self.sides = dict.fromkeys(numbers, 1)
        for observer in range(len(self.members)):
            for peer in range(len(self.members)):
                if self.sides.get(observer, 0) != self.sides.get(peer, 0):
                    dead = attrs.evolve(self.members[peer], state=MemberState.DEAD)
                    self.loop.call_later(
                        self.rng.uniform(*DETECTION_S), self.mark_dead, observer, peer, dead
                    )

    def change(self, workspaces: Workspaces) -> None:
        for view in self.views:
            self.loop.call_later(self.rng.uniform(0, 0.5), view.change, workspaces)
