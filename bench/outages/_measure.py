"""Plays one plan and measures when all nodes know of the change."""

import asyncio
import math
from collections.abc import Callable

import attrs

from bench.model._virtual_loop import VirtualLoop
from bench.outages._fleet import DATA_CENTRES, OutageFleet, OutageNode
from bench.outages._plan import DATAGRAM_LOSS, Fact, OutagePlan, Scope

SETTLING_S = 12.0
TIMEOUT_S = 45.0
POLL_S = 0.01
# How long after a fault all nodes must be able to accept keys again, in seconds.
STABLE_S = 3.0
# Share of the machines that a store may leave without an answer while it serves the others.
THIRD = 0.35


@attrs.frozen(slots=True)
class OutageResult:
    """Seconds from the change until the last node knew, and from the end of the fault until then.

    ``calls`` are those to the store, by kind, from the start of the fault until then.
    ``refusing_s`` is for how long some node couldn't accept keys.
    """

    late_s: float
    after_end_s: float
    calls: dict[str, int]
    refusing_s: float = 0.0


def measure_outage(plan: OutagePlan) -> OutageResult:
    """Play a plan in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(play(plan))


async def play(plan: OutagePlan) -> OutageResult:
    has_keys = plan.fact is Fact.KEY
    fleet = OutageFleet(plan.size, plan.seed, plan.loss, plan.has_checks, has_keys)
    for node in fleet.nodes.values():
        node.store.configuration_s = plan.configuration_s
    await asyncio.sleep(SETTLING_S + fleet.rng.random())
    before = fleet.counts.copy()
    refusing = asyncio.ensure_future(measure_refusing(fleet))
    outage = asyncio.ensure_future(run_fault(fleet, plan))
    await asyncio.sleep(plan.change_at_s)
    knows = change(fleet, plan.fact)
    changed_at = fleet.loop.time()
    while not all(map(knows, fleet.nodes.values())):
        if fleet.loop.time() > changed_at + TIMEOUT_S:
            break
        await asyncio.sleep(POLL_S)
    known_at = fleet.loop.time()
    ended_at = await outage
    calls = {kind: count - before[kind] for kind, count in fleet.counts.items()}
    await asyncio.sleep(max(0.0, ended_at + STABLE_S - fleet.loop.time()) if has_keys else 0.0)
    refusing.cancel()
    fleet.close()
    return OutageResult(known_at - changed_at, known_at - ended_at, calls, fleet.refusing_s)


async def measure_refusing(fleet: OutageFleet) -> None:
    """Add up the time during which some node can't accept keys."""
    while True:
        await asyncio.sleep(POLL_S)
        views = (node.settings.view for node in fleet.nodes.values())
        if not all(view.can_accept_keys for view in views):
            fleet.refusing_s += POLL_S


def change(fleet: OutageFleet, fact: Fact) -> Callable[[OutageNode], bool]:
    """Change the store; return how to tell whether a node knows."""
    if fact is Fact.EVACUATION:
        fleet.evacuate(DATA_CENTRES[0])
        return lambda node: DATA_CENTRES[0] in node.evacuations.in_force
    if fact is Fact.EPOCH:
        fleet.restore()
        return lambda node: node.store.epoch > 0
    fleet.configure()
    revision = fleet.revision
    if fact is Fact.KEY:
        return lambda node: (
            node.settings.view.revision >= revision or not node.settings.view.can_accept_keys
        )
    return lambda node: node.settings.view.revision >= revision


async def run_fault(fleet: OutageFleet, plan: OutagePlan) -> float:
    """Bring the fault about and end it; return when it ended."""
    affected = choose_affected(fleet, plan)
    if plan.loses_watches:
        for node in affected:
            node.store.lose_watches()
    if plan.fault is not None:
        fleet.set_fault(affected, plan.fault)
        await asyncio.sleep(plan.for_s)
        if plan.again:
            successors = choose_affected(fleet, plan)
            fleet.set_fault(affected, None)
            affected = successors
            fleet.set_fault(affected, plan.fault)
            await asyncio.sleep(plan.for_s)
        fleet.set_fault(affected, None)
    return fleet.loop.time()


def choose_affected(fleet: OutageFleet, plan: OutagePlan) -> list[OutageNode]:
    nodes = list(fleet.nodes.values())
    readers = fleet.readers()
    match plan.scope:
        case Scope.ALL:
            return nodes
        case Scope.READERS:
            return readers
        case Scope.THIRD:
            others = [node for node in nodes if node not in readers]
            fleet.rng.shuffle(others)
            return (readers + others)[: max(1, math.floor(THIRD * len(nodes)))]


def measure_calls(
    size: int, seconds: float, *, has_checks: bool = True, seed: int = 1
) -> dict[str, float]:
    """Return the calls to the store a second, by kind, of a fleet at rest."""

    async def rest() -> dict[str, float]:
        fleet = OutageFleet(size, seed, DATAGRAM_LOSS, has_checks)
        await asyncio.sleep(SETTLING_S)
        before = fleet.counts.copy()
        await asyncio.sleep(seconds)
        fleet.close()
        return {kind: (count - before[kind]) / seconds for kind, count in fleet.counts.items()}

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(rest())
