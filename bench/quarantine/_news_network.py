"""Quarantine services of many nodes, and the simulated bulletins between them."""

import asyncio
import random
from collections.abc import Iterable
from typing import Any

import cbor2

from bench.model._model_directory import ModelDirectory
from bench.model._virtual_loop import LoopClock
from marjoramtide.membership import Member, MemberState
from marjoramtide.quarantine import QuarantineService, make_quarantine
from marjoramtide.telemetry import Metrics

SERVICE = "mapdesk"
KEY = "a key for played fleets"
# Bytes of a datagram besides the fields: prefix, MAC, sender and list header.
ENVELOPE_BYTES = 4 + 16 + 9 + 2
DELAY_S = (0.0005, 0.003)


class BulletinNetwork:
    """One quarantine per node of a service; a share ``loss`` of the datagrams is lost.

    Nodes in ``partitioned`` neither send nor receive. ``sent`` and ``sent_bytes`` count datagrams.
    """

    def __init__(self, size: int, seed: int = 1, loss: float = 0.0) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.loss = loss
        self.partitioned: set[int] = set()
        self.sent = 0
        self.sent_bytes = 0
        self.members = [make_member(number) for number in range(size)]
        self.nodes = [self.make_node(number) for number in range(size)]
        self.tasks = [asyncio.ensure_future(node.run()) for node in self.nodes]

    def make_node(self, number: int) -> QuarantineService:
        """Return the quarantine of a newly started node."""
        directory = ModelDirectory(self.members[number], lambda node: None)
        for member in self.members:
            directory.apply_update(member)

        def publish(fields: list[Any], readers: Iterable[Member]) -> None:
            for reader in readers:
                self.send(number, fields, reader)

        return make_quarantine(
            KEY,
            directory,
            publish,
            LoopClock(self.loop),
            random.Random(self.rng.getrandbits(64)),
            Metrics(),
        )

    def restart(self, number: int) -> None:
        """Restart a node without its state."""
        self.tasks[number].cancel()
        self.nodes[number] = self.make_node(number)
        self.tasks[number] = asyncio.ensure_future(self.nodes[number].run())

    def send(self, sender: int, fields: list[Any], reader: Member) -> None:
        self.sent += 1
        self.sent_bytes += len(cbor2.dumps(fields)) + ENVELOPE_BYTES
        target = int(reader.node)
        if (
            self.rng.random() < self.loss
            or sender in self.partitioned
            or target in self.partitioned
        ):
            return
        self.loop.call_later(self.rng.uniform(*DELAY_S), self.deliver, sender, fields, target)

    def deliver(self, sender: int, fields: list[Any], target: int) -> None:
        self.nodes[target].take(self.members[sender], fields)

    def count_holding(self, fingerprint: int) -> int:
        """Return the number of nodes that hold a request back."""
        now = self.loop.time()
        return sum(
            any(each.fingerprint == fingerprint for each in node.policy.held(now))
            for node in self.nodes
        )

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()


def make_member(number: int) -> Member:
    """Return a member whose name is its number."""
    address = f"10.0.{number // 250}.{number % 250 + 1}:7104"
    return Member(
        str(number), SERVICE, "viti-west", "nadi-hall", address, address, address, MemberState.READY
    )
