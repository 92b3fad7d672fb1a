"""How soon all nodes know of an evacuation, and what that costs."""

import asyncio

import attrs

from bench.evacuation._evacuation_network import DATA_CENTRES, EvacuationNetwork
from bench.model._virtual_loop import VirtualLoop

GIVEN_UP_S = 30.0
STEP_S = 0.001
# Nodes of a data centre that watch the store, as deployed.
WATCHERS = 2
TOLD_S = 0.5


@attrs.frozen(slots=True)
class SpreadPlan:
    """One fleet; ``heard_by`` of the nodes that watch the store are not turned away by it."""

    size: int
    loss: float = 0.03
    notified_watchers: int = WATCHERS * len(DATA_CENTRES)
    seed: int = 1


@attrs.frozen(slots=True)
class SpreadResult:
    """Seconds until the last node knew, and until the last one in the evacuated data centre did.

    The latter are the last check before their servers: after them no request arrives there.
    """

    seconds: float
    affected_seconds: float
    datagrams: int
    bytes: int


def measure_spread(plan: SpreadPlan) -> SpreadResult:
    """Measure one fleet."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(measure(plan))


async def measure(plan: SpreadPlan) -> SpreadResult:
    network = EvacuationNetwork(plan.size, plan.seed, plan.loss)
    name, loop = DATA_CENTRES[0], asyncio.get_running_loop()
    watchers = range(min(plan.size, WATCHERS * len(DATA_CENTRES)))
    began = loop.time()
    network.evacuate(name, network.rng.sample(watchers, min(plan.notified_watchers, len(watchers))))
    there_s = 0.0
    while unaware := network.unaware(name):
        if any(network.members[number].data_centre == name for number in unaware):
            there_s = loop.time() - began
        if loop.time() > began + GIVEN_UP_S:
            break
        await asyncio.sleep(STEP_S)
    took_s = loop.time() - began
    await asyncio.sleep(TOLD_S)
    network.close()
    return SpreadResult(took_s, there_s + STEP_S, network.sent, network.sent_bytes)
