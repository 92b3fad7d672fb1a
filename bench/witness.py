"""Prints the cost of reporting a run to another node, its witness.

``python -m bench.witness --runs 20000``: a reporting node and its witness in one process, on
loopback. Each run is reported when it starts, and its end together with the next one. CPU time is
that of both ends; bytes are those of the messages, without TCP and IP headers.
"""

import argparse
import asyncio
import random
import time
from collections.abc import Sequence

from bench.model._model_directory import ModelDirectory
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.membership import Member, MemberState
from marjoramtide.peers import PeerClient, PeerServer, RunListener, ToldRun
from marjoramtide.peers._codec import encode
from marjoramtide.peers._messages import RunsMessage
from marjoramtide.telemetry import Metrics
from marjoramtide.witness import RunTeller

KEY = "a key for witnesses on loopback only"
HOST = "127.0.0.1"
UNUSED_ADDRESS = "127.0.0.1:9"
# Runs that are reported before the witness gets to run, as when a few requests arrive together.
BATCH_SIZE = 4


class NoLostNodes(RunListener):
    """A listener that expects no lost node."""

    def lost(self, node: str, runs: Sequence[ToldRun]) -> None:
        raise AssertionError(node)


def make_member(name: str, address: str) -> Member:
    return Member(name, "s", "r", "d", address, UNUSED_ADDRESS, UNUSED_ADDRESS, MemberState.READY)


async def measure(runs: int) -> float:
    """Return the CPU time of one run, both ends together, in microseconds."""
    clock = SystemClock()
    server = PeerServer(KEY, clock, FreezeDetector(clock))
    server.run_listener = NoLostNodes()
    await server.start(HOST, 0)
    assert server.server is not None
    address = "{}:{}".format(*next(iter(server.server.sockets)).getsockname())
    directory = ModelDirectory(make_member("teller", UNUSED_ADDRESS), lambda node: None)
    directory.apply_update(make_member("witness", address))
    client = PeerClient(KEY, clock)
    teller = RunTeller(directory, client, lambda _: False, clock, random.Random(1), Metrics())
    teller_task = asyncio.create_task(teller.run())
    while teller.link is None:
        await asyncio.sleep(0.01)
    rng = random.Random(1)
    began = time.process_time()
    for run_id in range(runs):
        await teller.request_started(run_id, rng.getrandbits(64))
        teller.request_finished(run_id)
        if not run_id % BATCH_SIZE:
            await asyncio.sleep(0)
    took = time.process_time() - began
    teller_task.cancel()
    await asyncio.gather(teller_task, return_exceptions=True)
    await client.close()
    await server.close()
    return took / runs * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.witness", description=__doc__)
    parser.add_argument("--runs", type=int, default=20000)
    runs = parser.parse_args().runs
    size = len(encode(RunsMessage("", [[runs, (1 << 64) - 1]], [runs])))
    print(f"{asyncio.run(measure(runs)):.0f} us a run, both ends; {size} bytes a message")


if __name__ == "__main__":
    main()
