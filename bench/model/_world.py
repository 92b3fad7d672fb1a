"""The simulated fleet: its servers and nodes, its traffic and its faults."""

import asyncio
import random

import attrs

from bench.model._arrivals import Arrival, draw_arrivals
from bench.model._caller import Caller
from bench.model._deployment import Deployment
from bench.model._fault_plan import FaultPlan
from bench.model._model_node import ModelNode
from bench.model._model_peers import ModelPeers
from bench.model._model_server import ModelServer
from bench.model._model_work import ModelWork, request_kind
from bench.model._neighbours import PaceTimeline
from bench.model._oracle import Oracle
from bench.model._oracle_caller import OracleCaller
from bench.model._service_plan import ServicePlan
from bench.model._tally import RequestOutcome
from marjoramtide.exchange import LoadReport, Request, RequestFailedError
from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import bulletin_recipients

REGION = "region"
# Range of the delay until gossip carries a member's change to another node, in a fleet of some
# dozens of nodes.
GOSSIP_DELAY_S = (0.02, 0.3)
# Delay from a node's crash until the others mark it suspect, and until they mark it dead.
SUSPECT_DELAY_S = 0.3
DEAD_DELAY_S = 1.5
# Time from the start of a node process until it takes requests and joins the membership.
NODE_STARTUP_S = 0.7
# Time before the traffic in which nodes learn of one another, and time after it.
WARM_UP_S = 5.0
COOL_DOWN_S = 12.0
SAME_DATA_CENTRE_LATENCY_S = 0.0001


@attrs.define(slots=True, eq=False)
class Host:
    """A backend server and the node beside it, which may crash and be replaced by a new one."""

    number: int
    plan: ServicePlan
    data_centre: int
    server: ModelServer
    node: ModelNode | None = None
    has_left: bool = False

    @property
    def address(self) -> str:
        return f"10.0.{self.number // 250}.{self.number % 250 + 1}:7000"


class FleetSimulation:
    """Simulates one deployment; ``tree_text`` is the settings tree of all nodes."""

    def __init__(self, deployment: Deployment, seed: int, tree_text: str) -> None:
        """With an empty ``tree_text`` an oracle places all requests instead of nodes."""
        self.deployment = deployment
        self.seed = seed
        self.tree_text = tree_text
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"world {deployment.name} {seed}")
        self.work = ModelWork(deployment, seed, self.make_nested_call)
        self.hosts: list[Host] = []
        self.outcomes: list[RequestOutcome] = []
        self.report_loss_share = 0.0
        self.runs = 0
        self.traffic_starts_at = self.loop.time() + WARM_UP_S
        self.failure_counts: dict[str, int] = {}
        self.oracle_caller = OracleCaller(
            Oracle(self.available_servers, self.loop.time), self.work, deployment.caller_ms / 1000
        )
        for plan in deployment.services:
            for data_centre, count in enumerate(plan.servers):
                for _ in range(count):
                    self.add_host(plan, data_centre, warm=True)

    def add_host(self, plan: ServicePlan, data_centre: int, warm: bool = False) -> Host:
        """Add a server to a data centre; ``warm`` skips its cold start."""
        number = len(self.hosts)
        rng = random.Random(f"seat {self.deployment.name} {self.seed} {number}")
        server = ModelServer(
            plan=plan,
            pace=PaceTimeline(plan.neighbours, rng),
            rng=random.Random(f"server {self.seed} {number}"),
            clock=self.loop.time,
            started_at=float("-inf") if warm else self.loop.time(),
            speed=1 + plan.speeds * rng.uniform(-1, 1),
        )
        host = Host(number, plan, data_centre, server)
        self.hosts.append(host)
        return host

    def start_node(self, host: Host) -> None:
        """Start a node on a host; each start gets a new node name."""
        member = Member(
            node=f"node-{host.number}~{self.rng.getrandbits(32):08x}",
            service=host.plan.name,
            region=REGION,
            data_centre=f"dc-{host.data_centre}",
            peer_address=host.address,
            gossip_address=host.address,
            operators_address=host.address,
        )
        peers = ModelPeers(self.find_node, lambda address: self.latency_s(host, address))
        rng = random.Random(f"node {self.seed} {host.number}")
        node = host.node = ModelNode(
            member,
            host.server,
            self.work,
            self.tree_text,
            peers,
            self.handle_failure_report,
            self.publish_load_report,
            rng,
        )
        node.directory.on_change(lambda changed: self.broadcast_member(node, changed))
        for other in self.running_nodes():
            if other is not node:
                self.deliver_later(other, node.directory.own, self.gossip_delay_s())
                self.deliver_later(node, other.directory.own, self.gossip_delay_s())

    def available_servers(self, service: str) -> list[ModelServer]:
        """Return the servers of a service that are not leaving."""
        return [
            host.server for host in self.hosts if host.plan.name == service and not host.has_left
        ]

    def running_nodes(self) -> list[ModelNode]:
        """Return the nodes that have not crashed."""
        return [host.node for host in self.hosts if host.node is not None and host.node.is_up]

    def find_node(self, address: str) -> ModelNode | None:
        host = next((host for host in self.hosts if host.address == address), None)
        return host.node if host is not None and host.node and host.node.is_up else None

    def latency_s(self, host: Host, address: str) -> float:
        """Return the one-way network latency from a host to an address."""
        other = next(each for each in self.hosts if each.address == address)
        same = other.data_centre == host.data_centre
        return SAME_DATA_CENTRE_LATENCY_S if same else self.deployment.hop_ms / 1000

    def gossip_delay_s(self) -> float:
        return self.rng.uniform(*GOSSIP_DELAY_S)

    def deliver_later(self, reader: ModelNode, member: Member, delay_s: float) -> None:
        self.loop.call_later(delay_s, reader.directory.apply_update, member)

    def broadcast_member(self, node: ModelNode, changed: Member) -> None:
        """Gossip a node's own change of state to the other nodes."""
        if changed.node == node.name:
            for other in self.running_nodes():
                if other is not node:
                    self.deliver_later(other, changed, self.gossip_delay_s())

    def handle_failure_report(self, name: str) -> None:
        """Start the failure detection of a node, unless it is up and would refute the suspicion."""
        node = next((each for each in self.running_nodes() if each.name == name), None)
        if node is None:
            self.loop.call_later(SUSPECT_DELAY_S, self.set_member_state, name, MemberState.SUSPECT)
            self.loop.call_later(DEAD_DELAY_S, self.set_member_state, name, MemberState.DEAD)

    def set_member_state(self, name: str, state: MemberState) -> None:
        for node in self.running_nodes():
            held = node.directory.find(name)
            if held is not None and held.state is not state:
                node.directory.apply_update(attrs.evolve(held, state=state))

    def publish_load_report(self, node: ModelNode, report: LoadReport) -> None:
        """Send a node's load report to the recipients of its bulletins."""
        if node.directory.own.state is not MemberState.READY:
            return
        for reader in bulletin_recipients(node.directory.own, node.directory.members()):
            other = self.find_node(reader.peer_address)
            if other is None or self.rng.random() < self.report_loss_share:
                continue
            same = reader.data_centre == node.directory.own.data_centre
            latency_s = SAME_DATA_CENTRE_LATENCY_S if same else self.deployment.hop_ms / 1000
            self.loop.call_later(
                latency_s, self.deliver_load_report, other, node.directory.own, report
            )

    def deliver_load_report(self, reader: ModelNode, member: Member, report: LoadReport) -> None:
        if reader.is_up and reader.directory.find(member.node) is not None:
            reader.dispatcher.record_load_report(member, report)

    async def make_nested_call(self, server: ModelServer, request_id: str, deadline: float) -> bool:
        """Send a nested request for a running request, through the node beside its server."""
        if not self.tree_text:
            return await self.oracle_caller.make_nested_call(server, request_id, deadline)
        host = next(host for host in self.hosts if host.server is server)
        node = host.node
        if node is None or not node.is_up:
            return False
        kind = self.work.kinds[request_kind(request_id)]
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
            response = await node.dispatch(request, settings)
        except RequestFailedError as error:
            self.count_failure(f"call {error.code}")
            return False
        except asyncio.CancelledError:
            if node.is_up:
                raise
            return False
        return not response.is_server_error

    def count_failure(self, name: str) -> None:
        self.failure_counts[name] = self.failure_counts.get(name, 0) + 1

    async def run(self) -> list[RequestOutcome]:
        """Run the simulation and return the outcome of each request."""
        for host in self.hosts if self.tree_text else ():
            self.start_node(host)
        await asyncio.sleep(WARM_UP_S)
        for fault in self.deployment.faults:
            self.loop.call_at(self.traffic_starts_at + fault.at_s, self.inject_fault, fault)
        callers = [
            asyncio.ensure_future(self.handle_arrival(arrival))
            for arrival in draw_arrivals(self.deployment, self.seed)
        ]
        await asyncio.gather(*callers)
        for node in self.running_nodes():
            node.crash()
        return self.outcomes

    async def handle_arrival(self, arrival: Arrival) -> None:
        await asyncio.sleep(self.traffic_starts_at + arrival.at_s - self.loop.time())
        if not self.tree_text:
            self.outcomes.append(await self.oracle_caller.call(arrival))
            return
        rng = self.work.rng(f"caller {arrival.request_id}")
        caller = Caller(
            arrival,
            self.work.kinds[arrival.kind],
            self.deployment.caller_ms / 1000,
            lambda: self.pick_entry_node(arrival.data_centre, rng),
            rng,
        )
        self.outcomes.append(await caller.call())

    def pick_entry_node(self, data_centre: int, rng: random.Random) -> ModelNode | None:
        """Return a random node that accepts callers, preferably in their own data centre."""
        accepting = [
            host for host in self.hosts if host.node is not None and host.node.accepts_callers
        ]
        near = [host for host in accepting if host.data_centre == data_centre]
        return rng.choice(near or accepting).node if accepting else None

    # Faults

    def inject_fault(self, fault: FaultPlan) -> None:
        """Start a fault; ``burst``, ``shift`` and ``abuse`` are part of the arrivals instead."""
        action = getattr(self, f"inject_{fault.kind}", None)
        if action is not None:
            action(fault)

    def pick_targets(self, fault: FaultPlan) -> list[Host]:
        """Draw the hosts that a fault affects.

        At least one; never all hosts of a service, unless the fault's share is 1.
        """
        rng = random.Random(f"{self.seed} {fault}")
        eligible = [
            host
            for host in self.hosts
            if not host.has_left and fault.service in ("", host.plan.name)
        ]
        count = min(len(eligible), max(1, round(fault.share * len(eligible))))
        drawn = rng.sample(eligible, count)
        if fault.share >= 1:
            return drawn
        left = {host.plan.name for host in eligible if host not in drawn}
        return [host for host in drawn if host.plan.name in left]

    def inject_slow(self, fault: FaultPlan) -> None:
        for host in self.pick_targets(fault):
            host.server.fault_factor = fault.factor
            self.loop.call_later(fault.for_s, setattr, host.server, "fault_factor", 1.0)

    def inject_grey(self, fault: FaultPlan) -> None:
        for host in self.pick_targets(fault):
            host.server.failure_share = min(1.0, fault.factor)
            self.loop.call_later(fault.for_s, setattr, host.server, "failure_share", 0.0)

    def inject_limit(self, fault: FaultPlan) -> None:
        for host in self.pick_targets(fault):
            host.server.rate_limit = fault.factor
            self.loop.call_later(fault.for_s, setattr, host.server, "rate_limit", None)

    def inject_crash(self, fault: FaultPlan) -> None:
        for host in self.pick_targets(fault):
            host.server.crash()
            self.loop.call_later(fault.for_s, host.server.restart)

    def inject_leave(self, fault: FaultPlan) -> None:
        for host in self.pick_targets(fault):
            host.has_left = True
            if host.node is not None:
                host.node.leave()

    def inject_join(self, fault: FaultPlan) -> None:
        for host in self.pick_targets(fault):
            joined = self.add_host(host.plan, host.data_centre)
            if self.tree_text:
                self.start_node(joined)

    def inject_restart(self, fault: FaultPlan) -> None:
        for host in self.pick_targets(fault):
            if fault.factor > 1:
                host.server.crash()
                self.loop.call_later(fault.for_s, host.server.restart)
            if host.node is not None:
                self.crash_node(host.node)
                self.loop.call_later(fault.for_s + NODE_STARTUP_S, self.start_node, host)

    def crash_node(self, node: ModelNode) -> None:
        node.crash()
        self.loop.call_later(SUSPECT_DELAY_S, self.set_member_state, node.name, MemberState.SUSPECT)
        self.loop.call_later(DEAD_DELAY_S, self.set_member_state, node.name, MemberState.DEAD)

    def inject_lossy(self, fault: FaultPlan) -> None:
        self.report_loss_share = fault.share
        self.loop.call_later(fault.for_s, setattr, self, "report_loss_share", 0.0)
