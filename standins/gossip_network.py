"""A network in memory for the pure protocol core, for scenarios and measurements."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from marjoramtide.clock import ManualClock
from marjoramtide.membership import Member, MemberState, PacketCodec, SwimCore, SwimOptions

KEY = "a key of a fleet in tests"
LATENCY_S = (0.0005, 0.003)


@attrs.define(slots=True, eq=False)
class Node:
    """A core with its address; ``held`` keeps datagrams that arrive while it is frozen."""

    name: str
    core: SwimCore
    address: str
    data_centre: str
    running: bool = True
    frozen: bool = False
    held: list[tuple[bytes, str]] = attrs.field(factory=list)

    def states(self) -> dict[str, MemberState]:
        """Return what this node believes of each member it holds, by name."""
        entries = self.core.view.entries.values()
        return {entry.member.node: entry.member.state for entry in entries}


class Network:
    """Delivers datagrams after a few milliseconds, or loses them; time is a ``ManualClock``.

    ``is_blocked`` tells of two nodes whether datagrams from the first can't reach the second.
    """

    def __init__(self, seed: int, options: SwimOptions | None = None) -> None:
        self.rng = random.Random(seed)
        self.options = options or SwimOptions()
        self.clock = ManualClock()
        self.nodes: dict[str, Node] = {}
        self.nodes_by_address: dict[str, Node] = {}
        self.loss = 0.0
        self.is_blocked: Callable[[Node, Node], bool] = lambda sender, receiver: False
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
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
        """Start a ready node that knows the addresses of all nodes before it."""
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

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.now + seconds
        while self.queue and self.queue[0][0] <= end:
            due, _, action = heapq.heappop(self.queue)
            self.clock.now = due
            action()
        self.clock.now = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Let time pass until ``condition`` holds; return how long it took or ``limit``."""
        begin = self.clock.now
        while not condition() and self.clock.now - begin < limit:
            self.run(0.1)
        return self.clock.now - begin

    def thaw(self, node: Node) -> None:
        """Let a frozen node go on: it reads what its socket kept, then its timers fire."""
        node.frozen = False
        held, node.held = node.held, []
        for data, address in held:
            self._receive(node, data, address)

    def flush(self, node: Node) -> None:
        """Send what the node's core wants sent."""
        for address, data in node.core.drain():
            self.largest_datagram_bytes = max(self.largest_datagram_bytes, len(data))
            self.sent.append((node.address, address, data))
            self._transmit(node, address, data)

    def inject(self, data: bytes, sender_address: str, receiver: Node) -> None:
        """Deliver bytes that no node of this network sent just now."""
        self._receive(receiver, data, sender_address)

    def _transmit(self, node: Node, address: str, data: bytes) -> None:
        receiver = self.nodes_by_address.get(address)
        if receiver is None or self.is_blocked(node, receiver) or self.rng.random() < self.loss:
            return
        latency = self.rng.uniform(*LATENCY_S)
        self._schedule(latency, lambda: self._receive(receiver, data, node.address))

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.clock.now + delay, next(self.order), action))

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
            node.held.append((data, address))
            return
        node.core.receive(data, address, self.clock.monotonic(), self.clock.wall())
        self.flush(node)
