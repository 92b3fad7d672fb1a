"""Nodes with quotas, and what they tell each other."""

import asyncio
import random
from collections.abc import Iterable
from typing import Any

import attrs
import cbor2

from bench.evacuation._evacuation_network import ENVELOPE_BYTES, make_member
from bench.model._model_directory import ModelDirectory
from bench.model._virtual_loop import LoopClock
from bench.quota._way import Way
from marjoramtide.exchange import NotRunError, Request
from marjoramtide.membership import Member, MemberState
from marjoramtide.quota import QuotaService, make_quota_service
from marjoramtide.settings import Workspaces, WorkspaceSettings
from marjoramtide.telemetry import Metrics

IN_ZONE_S = (0.0003, 0.001)
ACROSS_S = (0.001, 0.006)
# Until two nodes that start at the same time know each other.
MET_S = (0.1, 2.0)
# Until the others take a node for dead that fell silent.
NOTICED_S = (2.0, 5.0)


@attrs.define(slots=True, eq=False)
class QuotaView:
    """The settings that a node has in force, as far as quotas need them."""

    workspaces: Workspaces
    listeners: list[Any] = attrs.Factory(list)

    def on_change(self, listener: Any) -> None:
        self.listeners.append(listener)

    def change(self, workspaces: Workspaces) -> None:
        self.workspaces = workspaces
        for listener in self.listeners:
            listener(2)


class QuotaNetwork(Way):
    """One service for each node; ``loss`` of all datagrams never arrive.

    With ``one_place`` all nodes are in one data centre, so that a single one owns each quota.
    Nodes of different ``sides`` don't hear each other; those in ``frozen`` read what has come once
    they run again.
    """

    def __init__(
        self, size: int, seed: int, loss: float, workspaces: Workspaces, one_place: bool = False
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.loss = loss
        self.members = [make_member(number) for number in range(size)]
        if one_place:
            self.members = [attrs.evolve(each, data_centre="one") for each in self.members]
        self.places = [make_member(number).data_centre for number in range(size)]
        self.views = [QuotaView(workspaces) for _ in range(size)]
        self.directories: list[ModelDirectory] = []
        self.nodes: list[QuotaService] = []
        self.down: set[int] = set()
        self.sides: dict[int, int] = {}
        self.frozen: dict[int, list[Any]] = {}
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
        across = self.places[sender] != self.places[target]
        self.sent += 1
        self.sent_bytes += size
        self.crossed_bytes += size if across else 0
        apart = self.sides.get(sender, 0) != self.sides.get(target, 0)
        if apart or sender in self.frozen or self.rng.random() < self.loss:
            return
        delay_s = self.rng.uniform(*(ACROSS_S if across else IN_ZONE_S))
        self.loop.call_later(delay_s, self.arrive, sender, fields, target)

    def arrive(self, sender: int, fields: list[Any], target: int) -> None:
        if target in self.down:
            return
        if target in self.frozen:
            self.frozen[target].append((sender, fields))
            return
        self.nodes[target].take(self.members[sender], fields)

    async def admit(self, node: int, workspace: WorkspaceSettings) -> bool:
        if node in self.down or node in self.frozen:
            return False
        request = Request("s", "GET", "/", (), False, True, 0.0, 1, workspace=workspace.name)
        try:
            await self.nodes[node].admit(request)
        except NotRunError:
            return False
        return True

    # What happens to nodes

    def end(self, number: int) -> None:
        """End a node without a word; the others notice after seconds."""
        self.down.add(number)
        dead = attrs.evolve(self.members[number], state=MemberState.DEAD)
        for other in range(len(self.members)):
            if other != number:
                self.loop.call_later(self.rng.uniform(*NOTICED_S), self.notice, other, number, dead)

    def notice(self, other: int, number: int, member: Member) -> None:
        apart = self.sides.get(other, 0) != self.sides.get(number, 0)
        if number in self.down or apart:
            self.directories[other].apply_update(member)

    def start_again(self, number: int) -> None:
        """Start a node anew, which has forgotten everything but finds the others."""
        self.down.discard(number)
        run = f"{number}~{self.rng.getrandbits(32):08x}"
        old = self.members[number]
        self.members[number] = attrs.evolve(old, node=run)
        up = [each for at, each in enumerate(self.members) if at not in self.down]
        self.directories[number] = self.make_directory(number, up)
        self.nodes[number] = self.make_node(number)
        gone = attrs.evolve(old, state=MemberState.DEAD)
        for other in range(len(self.members)):
            if other != number:
                delay_s = self.rng.uniform(0.05, 0.4)
                self.loop.call_later(delay_s, self.meet, other, self.members[number], gone)

    def start_all_again(self) -> None:
        """Start all nodes anew at once; each meets each other one some time later."""
        self.down.clear()
        for number, old in enumerate(self.members):
            self.members[number] = attrs.evolve(
                old, node=f"{number}~{self.rng.getrandbits(32):08x}"
            )
            self.directories[number] = self.make_directory(number, ())
            self.nodes[number] = self.make_node(number)
        for here in range(len(self.members)):
            for there in range(len(self.members)):
                if here != there:
                    met_s = self.rng.uniform(*MET_S)
                    self.loop.call_later(
                        met_s, self.directories[here].apply_update, self.members[there]
                    )

    def meet(self, other: int, member: Member, gone: Member) -> None:
        self.directories[other].apply_update(member)
        self.directories[other].apply_update(gone)

    def freeze(self, number: int, seconds: float) -> None:
        self.frozen[number] = []
        self.loop.call_later(seconds, self.thaw, number)

    def thaw(self, number: int) -> None:
        for sender, fields in self.frozen.pop(number):
            self.nodes[number].take(self.members[sender], fields)

    def cut(self, numbers: Iterable[int]) -> None:
        """Cut some nodes off from the others; both sides notice after seconds."""
        self.sides = dict.fromkeys(numbers, 1)
        for here in range(len(self.members)):
            for there in range(len(self.members)):
                if self.sides.get(here, 0) != self.sides.get(there, 0):
                    dead = attrs.evolve(self.members[there], state=MemberState.DEAD)
                    self.loop.call_later(
                        self.rng.uniform(*NOTICED_S), self.notice, here, there, dead
                    )

    def change(self, workspaces: Workspaces) -> None:
        for view in self.views:
            self.loop.call_later(self.rng.uniform(0, 0.5), view.change, workspaces)
