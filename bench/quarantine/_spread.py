"""Measures how soon all nodes hold a request back, and the messages needed."""

import asyncio

import attrs

from bench.model._virtual_loop import VirtualLoop
from bench.quarantine._news_network import BulletinNetwork
from marjoramtide.serving import InFlightRequest

GUILTY = 0xBAD
TIMEOUT_S = 30.0
POLL_S = 0.001
# Time between two crashes at different nodes; the second one causes the quarantine.
CRASH_INTERVAL_S = 1.0


@attrs.frozen(slots=True)
class SpreadResult:
    """Seconds from the second crash until all nodes hold the request back, and cost per crash.

    Datagrams and bytes are those of all nodes together.
    """

    seconds: float
    datagrams_per_crash: float
    bytes_per_crash: float


def measure_spread(size: int, seed: int = 1, loss: float = 0.03, running: int = 10) -> SpreadResult:
    """Measure one fleet whose servers run ``running`` requests when they crash."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(measure(size, seed, loss, running))


async def measure(size: int, seed: int, loss: float, running: int) -> SpreadResult:
    network = BulletinNetwork(size, seed, loss)
    loop = asyncio.get_running_loop()
    first, second = network.rng.sample(range(size), 2)
    network.nodes[first].server_ended(make_runs(network, running))
    await asyncio.sleep(CRASH_INTERVAL_S)
    started_at = loop.time()
    network.nodes[second].server_ended(make_runs(network, running))
    while network.count_holding(GUILTY) < size and loop.time() < started_at + TIMEOUT_S:
        await asyncio.sleep(POLL_S)
    took = loop.time() - started_at
    # Repeated bulletins about both crashes count as their cost. Those about a request that is held
    # back, which go on for as long as it is, don't.
    await asyncio.sleep(CRASH_INTERVAL_S)
    network.close()
    return SpreadResult(took, network.sent / 2, network.sent_bytes / 2)


def make_runs(network: BulletinNetwork, running: int) -> list[InFlightRequest]:
    """Return the guilty request among others with fingerprints of their own."""
    others = [network.rng.getrandbits(64) for _ in range(running - 1)]
    now = network.loop.time()
    return [InFlightRequest(each, f"{each:x}", f"GET /{each:x}", now) for each in (GUILTY, *others)]
