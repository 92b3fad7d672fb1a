"""Simulates callers of many workspaces who send requests through many nodes."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from bench.model._virtual_loop import VirtualLoop
from bench.quota._quota_network import QuotaNetwork
from bench.quota._tally import QuotaFigures, QuotaTally
from bench.quota._way import EvenShares, QuotaScheme, UsageBroadcast
from marjoramtide.settings import Workspaces, WorkspaceSettings

WARM_UP_S = 2.0
# Limit of a workspace relative to its usual rate; its burst is the limit of one second.
LIMIT_RATIO = 1.6
SKEW = 1.2
SMALL_PER_S = 2.0
# Time until a change of the limits is in force at all nodes.
PROPAGATION_S = 1.0


@attrs.frozen(slots=True)
class QuotaPlan:
    """A fleet whose largest workspace sends ``surge_factor`` times its usual rate after warm-up.

    ``entry_pattern`` tells through which nodes it sends them: ``spread``, ``one`` or ``moving`` to
    another node each second. ``fault`` is injected during the surge.
    """

    size: int = 70
    workspaces: int = 77
    per_s: float = 390.0
    scheme: str = "leases"
    surge_factor: float = 6.0
    entry_pattern: str = "spread"
    fault: str = ""
    loss: float = 0.01
    seconds: float = 12.0
    seed: int = 1


def make_limits(plan: QuotaPlan) -> Workspaces:
    """Return workspaces with Zipf-distributed usual rates, and limits above these."""
    weights = [1 / place**SKEW for place in range(1, plan.workspaces + 1)]
    rates = [plan.per_s * weight / sum(weights) for weight in weights]
    settings = [
        WorkspaceSettings(
            f"w{place}", (), "route", -1, LIMIT_RATIO * rate, max(1.0, LIMIT_RATIO * rate)
        )
        for place, rate in enumerate(rates)
    ]
    return Workspaces({each.name: each for each in settings})


def make_scheme(plan: QuotaPlan, limits: Workspaces, rng: random.Random) -> QuotaScheme:
    if plan.scheme == "even shares":
        return EvenShares(plan.size)
    if plan.scheme == "told use":
        return UsageBroadcast(plan.size, rng)
    return QuotaNetwork(plan.size, plan.seed, plan.loss, limits, plan.scheme == "one owner")


def simulate_quota(plan: QuotaPlan) -> QuotaFigures:
    """Simulate a plan in virtual time."""

    async def run() -> QuotaFigures:
        return await _QuotaSimulation(plan).run()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run())


class _QuotaSimulation:
    def __init__(self, plan: QuotaPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.limits = make_limits(plan)
        self.hot = self.limits.by_name["w0"]
        self.scheme = make_scheme(plan, self.limits, self.rng)
        self.tally = QuotaTally()
        self.started_at = asyncio.get_running_loop().time()
        # Only requests from this time on are evaluated.
        self.measured_from = self.started_at

    async def run(self) -> QuotaFigures:
        loop = asyncio.get_running_loop()
        ends_at = self.started_at + WARM_UP_S + self.plan.seconds
        async with asyncio.TaskGroup() as tasks:
            for workspace in self.limits:
                tasks.create_task(self.send_requests(workspace, ends_at))
            tasks.create_task(self.inject_fault())
        return self.figures(loop.time() - self.started_at)

    async def send_requests(self, workspace: WorkspaceSettings, ends_at: float) -> None:
        loop = asyncio.get_running_loop()
        usual_rate = workspace.requests_per_s / LIMIT_RATIO
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < ends_at:
                is_hot = workspace is self.hot and loop.time() > self.started_at + WARM_UP_S
                await asyncio.sleep(
                    self.rng.expovariate(usual_rate * (self.plan.surge_factor if is_hot else 1))
                )
                tasks.create_task(self.send_request(workspace, self.pick_node(is_hot)))

    def pick_node(self, is_hot: bool) -> int:
        second = int(asyncio.get_running_loop().time())
        down = self.scheme.down if isinstance(self.scheme, QuotaNetwork) else ()
        # Callers of a crashed node use another one, if there is one.
        all_nodes = range(self.plan.size)
        up = [number for number in all_nodes if number not in down] or list(all_nodes)
        if is_hot and self.plan.entry_pattern == "one":
            return up[0]
        if is_hot and self.plan.entry_pattern == "moving":
            return up[second * 7 % len(up)]
        return self.rng.choice(up)

    async def send_request(self, workspace: WorkspaceSettings, node: int) -> None:
        at = asyncio.get_running_loop().time()
        admitted = await self.scheme.admit(node, workspace)
        self.tally.record(workspace.name, at, admitted)

    async def inject_fault(self) -> None:
        """Inject the fault two seconds after the start of the surge."""
        network = self.scheme
        if not self.plan.fault or not isinstance(network, QuotaNetwork):
            return
        await asyncio.sleep(WARM_UP_S + 2.0)
        faults: dict[str, Callable[[QuotaNetwork], Awaitable[None]]] = {
            "owner ends": self.crash_owner,
            "owner starts again": self.restart_owner,
            "all start again in turn": self.rolling_restart,
            "all start again at once": self.restart_all,
            "half end": self.crash_half,
            "owner stands still": self.suspend_owner,
            "a third is cut off": self.partition_third,
            "limit falls": self.lower_limit,
        }
        await faults[self.plan.fault](network)

    def owner(self, network: QuotaNetwork) -> int:
        return int(network.nodes[0].owners.of("w0")[0].node.partition("~")[0])

    async def crash_owner(self, network: QuotaNetwork) -> None:
        network.crash(self.owner(network))

    async def restart_owner(self, network: QuotaNetwork) -> None:
        number = self.owner(network)
        network.crash(number)
        await asyncio.sleep(1.0)
        network.restart(number)

    async def rolling_restart(self, network: QuotaNetwork) -> None:
        for number in range(self.plan.size):
            network.crash(number)
            await asyncio.sleep(0.7 * self.plan.seconds / self.plan.size)
            network.restart(number)

    async def restart_all(self, network: QuotaNetwork) -> None:
        for number in range(self.plan.size):
            network.crash(number)
        await asyncio.sleep(1.0)
        network.restart_all()

    async def crash_half(self, network: QuotaNetwork) -> None:
        for number in self.rng.sample(range(self.plan.size), self.plan.size // 2):
            network.crash(number)

    async def suspend_owner(self, network: QuotaNetwork) -> None:
        network.suspend(self.owner(network), 3.0)

    async def partition_third(self, network: QuotaNetwork) -> None:
        network.partition(number for number in range(self.plan.size) if number % 3 == 0)

    async def lower_limit(self, network: QuotaNetwork) -> None:
        lower = attrs.evolve(self.hot, requests_per_s=self.hot.requests_per_s / 4)
        self.limits = Workspaces(self.limits.by_name | {"w0": lower})
        network.change(self.limits)
        self.measured_from = asyncio.get_running_loop().time() + PROPAGATION_S

    def figures(self, seconds: float) -> QuotaFigures:
        self.tally.drop_before(self.measured_from)
        excesses = {each.name: self.tally.worst_excess(each) for each in self.limits}
        worst = max(excesses, key=lambda name: excesses[name])
        limit = self.tally.limit(self.limits.by_name[worst])
        admissible = {each.name: self.admissible(each) for each in self.limits}
        admitted = {name: len(self.tally.admitted.get(name, [])) for name in admissible}
        small = [each.name for each in self.limits if each.requests_per_s < SMALL_PER_S]
        return QuotaFigures(
            excess=excesses[worst],
            limit=limit,
            served=served_share(admitted, admissible),
            small_served=served_share(admitted, {name: admissible[name] for name in small}),
            datagrams_per_s=self.scheme.sent / seconds,
            bytes_per_s=self.scheme.sent_bytes / seconds,
            crossed_bytes_per_s=self.scheme.crossed_bytes / seconds,
        )

    def admissible(self, workspace: WorkspaceSettings) -> float:
        return self.tally.admissible(workspace, self.measured_from)


def served_share(admitted: dict[str, int], admissible: dict[str, float]) -> float:
    """Return the admitted share of the admissible requests, 1 if there are none."""
    served = sum(min(admitted[name], admissible[name]) for name in admissible)
    return served / sum(admissible.values()) if admissible else 1.0
