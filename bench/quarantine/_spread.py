"""How soon all nodes hold a request back, and what that costs."""

import asyncio

import attrs

from bench.model._virtual_loop import VirtualLoop
from bench.quarantine._news_network import NewsNetwork
from marjoramtide.serving import InFlightRequest

GUILTY = 0xBAD
GIVEN_UP_S = 30.0
STEP_S = 0.001
# Two ends a second apart: by the second, at another node, the request is held back.
BETWEEN_S = 1.0


@attrs.frozen(slots=True)
class Spread:
    """Seconds from the second end until all nodes hold the request back, and datagrams of an end.

    ``bytes_an_end`` are those of all nodes together.
    """

    seconds: float
    datagrams_an_end: float
    bytes_an_end: float


def spread(size: int, seed: int = 1, loss: float = 0.03, running: int = 10) -> Spread:
    """Measure one fleet, whose servers run ``running`` requests at their end."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(measure(size, seed, loss, running))


async def measure(size: int, seed: int, loss: float, running: int) -> Spread:
    network = NewsNetwork(size, seed, loss)
    loop = asyncio.get_running_loop()
    first, second = network.rng.sample(range(size), 2)
    network.nodes[first].server_crashed(make_runs(network, running))
    await asyncio.sleep(BETWEEN_S)
    began = loop.time()
    network.nodes[second].server_crashed(make_runs(network, running))
    while network.holders(GUILTY) < size and loop.time() < began + GIVEN_UP_S:
        await asyncio.sleep(STEP_S)
    took = loop.time() - began
    # What is told again of both ends belongs to their price; what is told of a request that is held
    # back, for as long as it is, does not.
    await asyncio.sleep(BETWEEN_S)
    network.close()
    return Spread(took, network.sent / 2, network.sent_bytes / 2)


def make_runs(network: NewsNetwork, running: int) -> list[InFlightRequest]:
    """Return the guilty request amid others, each of which runs once in its life."""
    others = [network.rng.getrandbits(64) for _ in range(running - 1)]
    now = network.loop.time()
    return [InFlightRequest(each, f"{each:x}", f"GET /{each:x}", now) for each in (GUILTY, *others)]
