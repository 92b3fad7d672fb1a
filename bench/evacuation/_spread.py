"""Measures how soon all nodes know of an evacuation, and the messages needed."""

import asyncio

import attrs

from bench.evacuation._evacuation_network import DATA_CENTRES, EvacuationNetwork
from bench.model._virtual_loop import VirtualLoop

TIMEOUT_S = 30.0
POLL_S = 0.001
# Number of nodes per data centre that watch the store, as in production.
WATCHERS = 2
SETTLING_S = 0.5


@attrs.frozen(slots=True)
class SpreadPlan:
    """A fleet; the store notifies ``notified_watchers`` of the nodes that watch it."""

    size: int
    loss: float = 0.03
    notified_watchers: int = WATCHERS * len(DATA_CENTRES)
    seed: int = 1


@attrs.frozen(slots=True)
class SpreadResult:
    """Seconds until the last node knew, and until the last one in the evacuated data centre did.

    Nodes of that data centre check requests right before their servers: once all of them know, no
    request reaches the servers.
    """

    seconds: float
    affected_seconds: float
    datagrams: int
    bytes: int


def measure_spread(plan: SpreadPlan) -> SpreadResult:
    """Measure one fleet in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(measure(plan))


async def measure(plan: SpreadPlan) -> SpreadResult:
    network = EvacuationNetwork(plan.size, plan.seed, plan.loss)
    name, loop = DATA_CENTRES[0], asyncio.get_running_loop()
    watchers = range(min(plan.size, WATCHERS * len(DATA_CENTRES)))
    started_at = loop.time()
    network.evacuate(name, network.rng.sample(watchers, min(plan.notified_watchers, len(watchers))))
    affected_s = 0.0
    while unaware := network.unaware(name):
        if any(network.members[number].data_centre == name for number in unaware):
            affected_s = loop.time() - started_at
        if loop.time() > started_at + TIMEOUT_S:
            break
        await asyncio.sleep(POLL_S)
    took_s = loop.time() - started_at
    await asyncio.sleep(SETTLING_S)
    network.close()
    return SpreadResult(took_s, affected_s + POLL_S, network.sent, network.sent_bytes)
