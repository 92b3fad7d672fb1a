"""Evacuation services of many nodes, and the simulated messages between them."""

import asyncio
import random
from collections.abc import Iterable
from typing import Any

import cbor2

from bench.memory_store import MemoryStore
from bench.model._model_directory import ModelDirectory
from bench.model._virtual_loop import LoopClock
from marjoramtide.evacuation import EvacuationService, make_evacuations
from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import EvacuationSnapshot

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall")
# Bytes of a datagram besides the fields: prefix, MAC, sender and list header.
ENVELOPE_BYTES = 4 + 16 + 9 + 2
DELAY_S = (0.0005, 0.003)
# Interval of a node's queries for the settings, at a freshness bound of six seconds.
QUERY_INTERVAL_S = (1.125, 1.5)
# Time until the store has answered a pending watch.
STORE_DELAY_S = (0.002, 0.008)


class EvacuationNetwork:
    """One evacuation service per node; a share ``loss`` of the datagrams is lost."""

    def __init__(self, size: int, seed: int, loss: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.loss = loss
        self.sent = 0
        self.sent_bytes = 0
        self.members = [make_member(number) for number in range(size)]
        self.nodes = [self.make_node(number) for number in range(size)]
        self.tasks = [asyncio.ensure_future(self.poll_peers(number)) for number in range(size)]

    def make_node(self, number: int) -> EvacuationService:
        """Return the service of a node that knows of no evacuation."""
        directory = ModelDirectory(self.members[number], lambda node: None)
        for member in self.members:
            directory.apply_update(member)

        def publish(fields: list[Any], readers: Iterable[Member]) -> None:
            for reader in readers:
                self.send(number, fields, int(reader.node))

        return make_evacuations(
            MemoryStore(),
            "evacuations/",
            directory,
            publish,
            LoopClock(self.loop),
            random.Random(self.rng.getrandbits(64)),
            lambda: False,
            False,
            lambda names: None,
        )

    def send(self, sender: int, fields: list[Any], target: int) -> None:
        self.sent += 1
        self.sent_bytes += len(cbor2.dumps(fields)) + ENVELOPE_BYTES
        if self.rng.random() >= self.loss:
            delay_s = self.rng.uniform(*DELAY_S)
            self.loop.call_later(delay_s, self.nodes[target].take, fields, str(sender))

    async def poll_peers(self, number: int) -> None:
        """Query random peers as for the settings; a query exchanges evacuations both ways."""
        await asyncio.sleep(self.rng.uniform(0, QUERY_INTERVAL_S[1]))
        while True:
            other = self.rng.choice([each for each in range(len(self.nodes)) if each != number])
            self.nodes[other].take(self.nodes[number].told(), str(number))
            self.nodes[number].take(self.nodes[other].told(), str(other))
            await asyncio.sleep(self.rng.uniform(*QUERY_INTERVAL_S))

    def evacuate(self, name: str, watchers: Iterable[int]) -> None:
        """Let the store notify some nodes of an evacuation."""
        snapshot = EvacuationSnapshot(7, frozenset((name,)))
        for number in watchers:
            self.loop.call_later(
                self.rng.uniform(*STORE_DELAY_S), self.nodes[number].take_stored, snapshot
            )

    def unaware(self, name: str) -> list[int]:
        """Return the nodes that don't know yet that a data centre is evacuated."""
        return [number for number, node in enumerate(self.nodes) if name not in node.in_force]

    def close(self) -> None:
        """Cancel all tasks and close the services."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.close()


def make_member(number: int) -> Member:
    """Return a member whose name is its number."""
    address = f"10.0.{number // 250}.{number % 250 + 1}:7104"
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return Member(
        str(number),
        "mapdesk",
        "viti-west",
        data_centre,
        address,
        address,
        address,
        MemberState.READY,
    )
