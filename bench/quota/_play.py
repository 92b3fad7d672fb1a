"""Plays callers of many workspaces who come by many nodes."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from bench.model._virtual_loop import VirtualLoop
from bench.quota._quota_network import QuotaNetwork
from bench.quota._tally import QuotaFigures, QuotaTally
from bench.quota._way import EvenShares, ToldUse, Way
from marjoramtide.settings import Workspaces, WorkspaceSettings

WARM_S = 2.0
# Of the usual rate of a workspace; what it may send at once is that of a second.
LIMIT_RATIO = 1.6
SKEW = 1.2
SMALL_PER_S = 2.0
# Until a change of the limits is in force at all nodes.
IN_FORCE_S = 1.0


@attrs.frozen(slots=True)
class QuotaPlan:
    """A fleet whose largest workspace comes at ``hot`` times its usual amid the play.

    ``how`` tells by which nodes its callers come then: ``spread``, ``one`` or ``moving`` from one
    to another each second. ``fault`` is what happens to nodes meanwhile.
    """

    size: int = 70
    workspaces: int = 77
    per_s: float = 390.0
    way: str = "leases"
    surge_factor: float = 6.0
    entry_pattern: str = "spread"
    fault: str = ""
    loss: float = 0.01
    seconds: float = 12.0
    seed: int = 1


def make_limits(plan: QuotaPlan) -> Workspaces:
    """Return workspaces whose usual rates fall by their place (Zipf), with limits above them."""
    weights = [1 / place**SKEW for place in range(1, plan.workspaces + 1)]
    rates = [plan.per_s * weight / sum(weights) for weight in weights]
    found = [
        WorkspaceSettings(
            f"w{place}", (), "route", -1, LIMIT_RATIO * rate, max(1.0, LIMIT_RATIO * rate)
        )
        for place, rate in enumerate(rates)
    ]
    return Workspaces({each.name: each for each in found})


def make_way(plan: QuotaPlan, limits: Workspaces, rng: random.Random) -> Way:
    if plan.way == "even shares":
        return EvenShares(plan.size)
    if plan.way == "told use":
        return ToldUse(plan.size, rng)
    return QuotaNetwork(plan.size, plan.seed, plan.loss, limits, plan.way == "one owner")


def simulate_quota(plan: QuotaPlan) -> QuotaFigures:
    """Play a plan."""

    async def run() -> QuotaFigures:
        return await _Play(plan).run()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run())


class _Play:
    def __init__(self, plan: QuotaPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.limits = make_limits(plan)
        self.hot = self.limits.by_name["w0"]
        self.way = make_way(plan, self.limits, self.rng)
        self.tally = QuotaTally()
        self.began = asyncio.get_running_loop().time()
        # Only what comes from here on is judged.
        self.judged_from = self.began

    async def run(self) -> QuotaFigures:
        loop = asyncio.get_running_loop()
        ended = self.began + WARM_S + self.plan.seconds
        async with asyncio.TaskGroup() as tasks:
            for workspace in self.limits:
                tasks.create_task(self.callers(workspace, ended))
            tasks.create_task(self.trouble())
        return self.figures(loop.time() - self.began)

    async def callers(self, workspace: WorkspaceSettings, ended: float) -> None:
        loop = asyncio.get_running_loop()
        usual = workspace.requests_per_s / LIMIT_RATIO
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < ended:
                is_hot = workspace is self.hot and loop.time() > self.began + WARM_S
                await asyncio.sleep(
                    self.rng.expovariate(usual * (self.plan.surge_factor if is_hot else 1))
                )
                tasks.create_task(self.ask(workspace, self.node(is_hot)))

    def node(self, is_hot: bool) -> int:
        second = int(asyncio.get_running_loop().time())
        down = self.way.down if isinstance(self.way, QuotaNetwork) else ()
        # Callers of a node that is gone come by another one, where there is one.
        everywhere = range(self.plan.size)
        up = [number for number in everywhere if number not in down] or list(everywhere)
        if is_hot and self.plan.entry_pattern == "one":
            return up[0]
        if is_hot and self.plan.entry_pattern == "moving":
            return up[second * 7 % len(up)]
        return self.rng.choice(up)

    async def ask(self, workspace: WorkspaceSettings, node: int) -> None:
        at = asyncio.get_running_loop().time()
        admitted = await self.way.admit(node, workspace)
        self.tally.note(workspace.name, at, admitted)

    async def trouble(self) -> None:
        """Bring about the fault two seconds after the workspace has become hot."""
        network = self.way
        if not self.plan.fault or not isinstance(network, QuotaNetwork):
            return
        await asyncio.sleep(WARM_S + 2.0)
        faults: dict[str, Callable[[QuotaNetwork], Awaitable[None]]] = {
            "owner ends": self.owner_ends,
            "owner starts again": self.owner_starts_again,
            "all start again in turn": self.all_start_again,
            "all start again at once": self.all_start_at_once,
            "half end": self.half_end,
            "owner stands still": self.owner_stands_still,
            "a third is cut off": self.third_is_cut,
            "limit falls": self.limit_falls,
        }
        await faults[self.plan.fault](network)

    def owner(self, network: QuotaNetwork) -> int:
        return int(network.nodes[0].owners.of("w0")[0].node.partition("~")[0])

    async def owner_ends(self, network: QuotaNetwork) -> None:
        network.end(self.owner(network))

    async def owner_starts_again(self, network: QuotaNetwork) -> None:
        number = self.owner(network)
        network.end(number)
        await asyncio.sleep(1.0)
        network.start_again(number)

    async def all_start_again(self, network: QuotaNetwork) -> None:
        for number in range(self.plan.size):
            network.end(number)
            await asyncio.sleep(0.7 * self.plan.seconds / self.plan.size)
            network.start_again(number)

    async def all_start_at_once(self, network: QuotaNetwork) -> None:
        for number in range(self.plan.size):
            network.end(number)
        await asyncio.sleep(1.0)
        network.start_all_again()

    async def half_end(self, network: QuotaNetwork) -> None:
        for number in self.rng.sample(range(self.plan.size), self.plan.size // 2):
            network.end(number)

    async def owner_stands_still(self, network: QuotaNetwork) -> None:
        network.freeze(self.owner(network), 3.0)

    async def third_is_cut(self, network: QuotaNetwork) -> None:
        network.cut(number for number in range(self.plan.size) if number % 3 == 0)

    async def limit_falls(self, network: QuotaNetwork) -> None:
        lower = attrs.evolve(self.hot, requests_per_s=self.hot.requests_per_s / 4)
        self.limits = Workspaces(self.limits.by_name | {"w0": lower})
        network.change(self.limits)
        self.judged_from = asyncio.get_running_loop().time() + IN_FORCE_S

    def figures(self, seconds: float) -> QuotaFigures:
        self.tally.forget_before(self.judged_from)
        excesses = {each.name: self.tally.worst_excess(each) for each in self.limits}
        worst = max(excesses, key=lambda name: excesses[name])
        limit = self.tally.limit(self.limits.by_name[worst])
        owed = {each.name: self.owed(each) for each in self.limits}
        got = {name: len(self.tally.admitted.get(name, [])) for name in owed}
        small = [each.name for each in self.limits if each.requests_per_s < SMALL_PER_S]
        return QuotaFigures(
            excess=excesses[worst],
            limit=limit,
            served=served_share(got, owed),
            small_served=served_share(got, {name: owed[name] for name in small}),
            datagrams_per_s=self.way.sent / seconds,
            bytes_per_s=self.way.sent_bytes / seconds,
            crossed_bytes_per_s=self.way.crossed_bytes / seconds,
        )

    def owed(self, workspace: WorkspaceSettings) -> float:
        return self.tally.owed(workspace, self.judged_from)


def served_share(got: dict[str, int], owed: dict[str, float]) -> float:
    """Return how much of what was owed was got, 1 where nothing was."""
    served = sum(min(got[name], owed[name]) for name in owed)
    return served / sum(owed.values()) if owed else 1.0
