"""A simulated network for the gossip core, without sockets, for scenarios and benchmarks."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from marjoramtide.clock import ManualClock
from marjoramtide.membership import Member, MemberState, PacketCodec, SwimCore, SwimOptions

KEY = "a key of a fleet in tests"
LATENCY_RANGE_S = (0.0005, 0.003)


@attrs.define(slots=True, eq=False)
class Node:
    """A gossip core and its address; ``buffered`` holds datagrams received while it is frozen."""

    name: str
    core: SwimCore
    address: str
    data_centre: str
    running: bool = True
    frozen: bool = False
    buffered: list[tuple[bytes, str]] = attrs.field(factory=list)

    def states(self) -> dict[str, MemberState]:
        """Return the state of each member in this node's view, by name."""
        entries = self.core.view.entries.values()
        return {entry.member.node: entry.member.state for entry in entries}


class Network:
    """Simulates latency, loss and partitions on a ``ManualClock``.

    ``is_blocked(sender, receiver)`` tells whether datagrams between these nodes are dropped.
    """

    def __init__(self, seed: int, options: SwimOptions | None = None) -> None:
        self.rng = random.Random(seed)
        self.options = options or SwimOptions()
        self.clock = ManualClock()
        self.nodes: dict[str, Node] = {}
        self.nodes_by_address: dict[str, Node] = {}
        self.loss = 0.0
        self.is_blocked: Callable[[Node, Node], bool] = lambda sender, receiver: False
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.sent: list[tuple[str, str, bytes]] = []
        self.largest_datagram_bytes = 0

    def start_node(
        self,
        name: str,
        *,
        address: str | None = None,
        data_centre: str = "nadi-hall",
        service: str = "mapdesk",
        incarnation: int | None = None,
        key: str = KEY,
    ) -> Node:
        """Start a ready node whose seeds are all nodes started before it."""
        address = address or f"10.0.{len(self.nodes) // 200}.{len(self.nodes) % 200 + 1}:7100"
        member = Member(
            node=name,
            service=service,
            region="viti-west",
            data_centre=data_centre,
            peer_address=address,
            gossip_address=address,
            operators_address=address,
            state=MemberState.READY,
            incarnation=int(self.clock.wall() * 1000) if incarnation is None else incarnation,
        )
        rng = random.Random(self.rng.getrandbits(32))
        core = SwimCore(member, PacketCodec(key), rng, self.options)
        core.add_seeds([node.address for node in self.nodes.values()])
        node = Node(name, core, address, data_centre)
        self.nodes[name] = self.nodes_by_address[address] = node
        self._schedule(rng.uniform(0, self.options.tick_s), lambda: self._tick(node))
        return node

    def run(self, duration_s: float) -> None:
        """Run all events of the next ``duration_s`` of simulated time."""
        end = self.clock.now + duration_s
        while self.events and self.events[0][0] <= end:
            due, _, action = heapq.heappop(self.events)
            self.clock.now = due
            action()
        self.clock.now = end

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Run until ``condition`` holds or ``timeout_s`` is reached; return the simulated time."""
        started_at = self.clock.now
        while not condition() and self.clock.now - started_at < timeout_s:
            self.run(0.1)
        return self.clock.now - started_at

    def thaw(self, node: Node) -> None:
        """Resume a frozen node: it receives the buffered datagrams, then its timers fire."""
        node.frozen = False
        buffered, node.buffered = node.buffered, []
        for data, address in buffered:
            self._receive(node, data, address)

    def flush(self, node: Node) -> None:
        """Send the pending datagrams of the node's core."""
        for address, data in node.core.drain():
            self.largest_datagram_bytes = max(self.largest_datagram_bytes, len(data))
            self.sent.append((node.address, address, data))
            self._transmit(node, address, data)

    def inject(self, data: bytes, sender_address: str, receiver: Node) -> None:
        """Deliver a datagram from outside, such as a forged or replayed one."""
        self._receive(receiver, data, sender_address)

    def _transmit(self, node: Node, address: str, data: bytes) -> None:
        receiver = self.nodes_by_address.get(address)
        if receiver is None or self.is_blocked(node, receiver) or self.rng.random() < self.loss:
            return
        latency = self.rng.uniform(*LATENCY_RANGE_S)
        self._schedule(latency, lambda: self._receive(receiver, data, node.address))

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.clock.now + delay, next(self.event_numbers), action))

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        if not node.frozen:
            node.core.tick(self.clock.monotonic(), self.clock.wall())
            self.flush(node)
        self._schedule(self.options.tick_s, lambda: self._tick(node))

    def _receive(self, node: Node, data: bytes, address: str) -> None:
        if not node.running:
            return
        if node.frozen:
            node.buffered.append((data, address))
            return
        node.core.receive(data, address, self.clock.monotonic(), self.clock.wall())
        self.flush(node)
