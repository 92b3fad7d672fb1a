"""A played deployment: its servers and nodes, and what happens to them."""

import asyncio
import random

import attrs

from bench.model._arrivals import Arrival, arrivals
from bench.model._caller import Caller
from bench.model._deployment import Deployment
from bench.model._fault_plan import FaultPlan
from bench.model._model_node import ModelNode
from bench.model._model_peers import ModelPeers
from bench.model._model_server import ModelServer
from bench.model._model_work import ModelWork, kind_of
from bench.model._neighbours import PaceTimeline
from bench.model._oracle import Oracle
from bench.model._oracle_caller import OracleCaller
from bench.model._service_plan import ServicePlan
from bench.model._tally import RequestEnd
from marjoramtide.exchange import LoadReport, Request, RequestFailedError
from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import bulletin_recipients

REGION = "region"
# How long news of a member takes to each other node, in seconds: gossip in a fleet of some dozens.
GOSSIP_S = (0.02, 0.3)
# Until a node that is gone is suspected and then held dead, in seconds.
SUSPECTED_S = 0.3
DEAD_S = 1.5
# How long a node takes from its start to its first request, in seconds, and until others know it.
NODE_START_S = 0.7
# Time before the traffic in which nodes come to know one another, in seconds, and after it.
LEAD_S = 5.0
TAIL_S = 12.0
IN_ZONE_S = 0.0001


@attrs.define(slots=True, eq=False)
class Seat:
    """A server and the node beside it, which may end and begin anew."""

    number: int
    plan: ServicePlan
    data_centre: int
    server: ModelServer
    node: ModelNode | None = None
    is_gone: bool = False

    @property
    def address(self) -> str:
        return f"10.0.{self.number // 250}.{self.number % 250 + 1}:7000"


class World:
    """Plays one day of a deployment; ``text`` is the settings tree that all nodes go by."""

    def __init__(self, deployment: Deployment, seed: int, text: str) -> None:
        """An empty ``text`` has an oracle place all requests in place of nodes."""
        self.deployment = deployment
        self.seed = seed
        self.text = text
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"world {deployment.name} {seed}")
        self.work = ModelWork(deployment, seed, self.call)
        self.seats: list[Seat] = []
        self.ends: list[RequestEnd] = []
        self.lost_news = 0.0
        self.runs = 0
        self.began = self.loop.time() + LEAD_S
        self.counts: dict[str, int] = {}
        self.oracle_caller = OracleCaller(
            Oracle(self.taking, self.loop.time), self.work, deployment.caller_ms / 1000
        )
        for plan in deployment.services:
            for data_centre, count in enumerate(plan.servers):
                for _ in range(count):
                    self.add_seat(plan, data_centre, warm=True)

    def add_seat(self, plan: ServicePlan, data_centre: int, warm: bool = False) -> Seat:
        """Put a server into a data centre."""
        number = len(self.seats)
        rng = random.Random(f"seat {self.deployment.name} {self.seed} {number}")
        server = ModelServer(
            plan=plan,
            pace=PaceTimeline(plan.neighbours, rng),
            rng=random.Random(f"server {self.seed} {number}"),
            clock=self.loop.time,
            started_at=float("-inf") if warm else self.loop.time(),
            speed=1 + plan.speeds * rng.uniform(-1, 1),
        )
        seat = Seat(number, plan, data_centre, server)
        self.seats.append(seat)
        return seat

    def start_node(self, seat: Seat) -> None:
        """Begin a run of the node at a seat."""
        member = Member(
            node=f"node-{seat.number}~{self.rng.getrandbits(32):08x}",
            service=seat.plan.name,
            region=REGION,
            data_centre=f"dc-{seat.data_centre}",
            peer_address=seat.address,
            gossip_address=seat.address,
            operators_address=seat.address,
        )
        peers = ModelPeers(self.node_at, lambda address: self.way_s(seat, address))
        rng = random.Random(f"node {self.seed} {seat.number}")
        node = seat.node = ModelNode(
            member, seat.server, self.work, self.text, peers, self.suspect, self.publish, rng
        )
        node.directory.on_change(lambda changed: self.spread(node, changed))
        for other in self.nodes():
            if other is not node:
                self.later(other, node.directory.own, self.gossip_s())
                self.later(node, other.directory.own, self.gossip_s())

    def taking(self, service: str) -> list[ModelServer]:
        """Return the servers of a service that don't leave."""
        return [
            seat.server for seat in self.seats if seat.plan.name == service and not seat.is_gone
        ]

    def nodes(self) -> list[ModelNode]:
        """Return the nodes that run."""
        return [seat.node for seat in self.seats if seat.node is not None and seat.node.is_up]

    def node_at(self, address: str) -> ModelNode | None:
        seat = next((seat for seat in self.seats if seat.address == address), None)
        return seat.node if seat is not None and seat.node and seat.node.is_up else None

    def way_s(self, seat: Seat, address: str) -> float:
        """Return the way from one seat to another, one way in seconds."""
        other = next(each for each in self.seats if each.address == address)
        same = other.data_centre == seat.data_centre
        return IN_ZONE_S if same else self.deployment.hop_ms / 1000

    def gossip_s(self) -> float:
        return self.rng.uniform(*GOSSIP_S)

    def later(self, reader: ModelNode, member: Member, delay_s: float) -> None:
        self.loop.call_later(delay_s, reader.directory.apply_update, member)

    def spread(self, node: ModelNode, changed: Member) -> None:
        """Let the others hear what a node says of itself."""
        if changed.node == node.name:
            for other in self.nodes():
                if other is not node:
                    self.later(other, changed, self.gossip_s())

    def suspect(self, name: str) -> None:
        """Take a sign that a node is gone; what lives refutes it."""
        node = next((each for each in self.nodes() if each.name == name), None)
        if node is None:
            self.loop.call_later(SUSPECTED_S, self.mark, name, MemberState.SUSPECT)
            self.loop.call_later(DEAD_S, self.mark, name, MemberState.DEAD)

    def mark(self, name: str, state: MemberState) -> None:
        for node in self.nodes():
            held = node.directory.find(name)
            if held is not None and held.state is not state:
                node.directory.apply_update(attrs.evolve(held, state=state))

    def publish(self, node: ModelNode, report: LoadReport) -> None:
        """Bring news of a server's pace to those that follow it."""
        if node.directory.own.state is not MemberState.READY:
            return
        for reader in bulletin_recipients(node.directory.own, node.directory.members()):
            other = self.node_at(reader.peer_address)
            if other is None or self.rng.random() < self.lost_news:
                continue
            same = reader.data_centre == node.directory.own.data_centre
            way_s = IN_ZONE_S if same else self.deployment.hop_ms / 1000
            self.loop.call_later(way_s, self.tell, other, node.directory.own, report)

    def tell(self, reader: ModelNode, member: Member, report: LoadReport) -> None:
        if reader.is_up and reader.directory.find(member.node) is not None:
            reader.dispatcher.record_load_report(member, report)

    async def call(self, server: ModelServer, request_id: str, deadline: float) -> bool:
        """Make a call for a running request, through the node beside its server."""
        if not self.text:
            return await self.oracle_caller.call_made(server, request_id, deadline)
        seat = next(seat for seat in self.seats if seat.server is server)
        node = seat.node
        if node is None or not node.is_up:
            return False
        kind = self.work.kinds[kind_of(request_id)]
        now = self.loop.time()
        settings = node.view.find("callers", f"/{kind.name}/")
        request = Request(
            service=settings.service,
            method="GET",
            target=f"/{kind.name}/",
            headers=(),
            urgent=settings.priority == "urgent",
            idempotent=kind.idempotent,
            deadline=min(deadline, now + kind.deadline_ms / 1000),
            request_id=request_id,
            depth=2,
            parent_run=request_id.partition("/")[2].rpartition(".")[0].rpartition(".")[0],
            rank=settings.rank,
            goal=now + settings.goal_ms / 1000,
        )
        try:
            answer = await node.dispatch(request, settings)
        except RequestFailedError as error:
            self.count(f"call {error.code}")
            return False
        except asyncio.CancelledError:
            if node.is_up:
                raise
            return False
        return not answer.is_server_error

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    async def play(self) -> list[RequestEnd]:
        """Play the day and return what became of each request."""
        for seat in self.seats if self.text else ():
            self.start_node(seat)
        await asyncio.sleep(LEAD_S)
        for fault in self.deployment.faults:
            self.loop.call_at(self.began + fault.at_s, self.strike, fault)
        callers = [
            asyncio.ensure_future(self.come(arrival))
            for arrival in arrivals(self.deployment, self.seed)
        ]
        await asyncio.gather(*callers)
        for node in self.nodes():
            node.end()
        return self.ends

    async def come(self, arrival: Arrival) -> None:
        await asyncio.sleep(self.began + arrival.at_s - self.loop.time())
        if not self.text:
            self.ends.append(await self.oracle_caller.call(arrival))
            return
        rng = self.work.rng(f"caller {arrival.request_id}")
        caller = Caller(
            arrival,
            self.work.kinds[arrival.kind],
            self.deployment.caller_ms / 1000,
            lambda: self.entry(arrival.data_centre, rng),
            rng,
        )
        self.ends.append(await caller.call())

    def entry(self, data_centre: int, rng: random.Random) -> ModelNode | None:
        """Return a node that takes callers, of their own data centre where there is one."""
        taking = [seat for seat in self.seats if seat.node is not None and seat.node.takes_callers]
        near = [seat for seat in taking if seat.data_centre == data_centre]
        return rng.choice(near or taking).node if taking else None

    # Faults

    def strike(self, fault: FaultPlan) -> None:
        """Let a fault begin; ``burst``, ``shift`` and ``abuse`` are the arrivals' own."""
        action = getattr(self, f"strike_{fault.kind}", None)
        if action is not None:
            action(fault)

    def struck(self, fault: FaultPlan) -> list[Seat]:
        """Draw whom a fault strikes: at least one, and never all of a service unless it says so."""
        rng = random.Random(f"{self.seed} {fault}")
        fitting = [
            seat
            for seat in self.seats
            if not seat.is_gone and fault.service in ("", seat.plan.name)
        ]
        count = min(len(fitting), max(1, round(fault.share * len(fitting))))
        drawn = rng.sample(fitting, count)
        if fault.share >= 1:
            return drawn
        left = {seat.plan.name for seat in fitting if seat not in drawn}
        return [seat for seat in drawn if seat.plan.name in left]

    def strike_slow(self, fault: FaultPlan) -> None:
        for seat in self.struck(fault):
            seat.server.trouble = fault.factor
            self.loop.call_later(fault.for_s, setattr, seat.server, "trouble", 1.0)

    def strike_grey(self, fault: FaultPlan) -> None:
        for seat in self.struck(fault):
            seat.server.grey = min(1.0, fault.factor)
            self.loop.call_later(fault.for_s, setattr, seat.server, "grey", 0.0)

    def strike_limit(self, fault: FaultPlan) -> None:
        for seat in self.struck(fault):
            seat.server.limit = fault.factor
            self.loop.call_later(fault.for_s, setattr, seat.server, "limit", None)

    def strike_crash(self, fault: FaultPlan) -> None:
        for seat in self.struck(fault):
            seat.server.end()
            self.loop.call_later(fault.for_s, seat.server.begin)

    def strike_leave(self, fault: FaultPlan) -> None:
        for seat in self.struck(fault):
            seat.is_gone = True
            if seat.node is not None:
                seat.node.leave()

    def strike_join(self, fault: FaultPlan) -> None:
        for seat in self.struck(fault):
            joined = self.add_seat(seat.plan, seat.data_centre)
            if self.text:
                self.start_node(joined)

    def strike_restart(self, fault: FaultPlan) -> None:
        for seat in self.struck(fault):
            if fault.factor > 1:
                seat.server.end()
                self.loop.call_later(fault.for_s, seat.server.begin)
            if seat.node is not None:
                self.end_node(seat.node)
                self.loop.call_later(fault.for_s + NODE_START_S, self.start_node, seat)

    def end_node(self, node: ModelNode) -> None:
        node.end()
        self.loop.call_later(SUSPECTED_S, self.mark, node.name, MemberState.SUSPECT)
        self.loop.call_later(DEAD_S, self.mark, node.name, MemberState.DEAD)

    def strike_lossy(self, fault: FaultPlan) -> None:
        self.lost_news = fault.share
        self.loop.call_later(fault.for_s, setattr, self, "lost_news", 0.0)
