"""Prints what it costs to have another node know of a run.

``python -m bench.witness --runs 20000``: a teller and its witness in one process, on loopback. Each
run is told, and its end with the next one. Processor time is that of both ends; bytes are those of
the messages, without the headers of TCP and IP.
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
NOWHERE = "127.0.0.1:9"
# Runs that are told before the witness gets a turn, as where requests come a few at a time.
AT_ONCE = 4


class NobodyLost(RunListener):
    """Is never told of a lost node here."""

    def lost(self, node: str, runs: Sequence[ToldRun]) -> None:
        raise AssertionError(node)


def make_member(name: str, address: str) -> Member:
    return Member(name, "s", "r", "d", address, NOWHERE, NOWHERE, MemberState.READY)


async def measure(runs: int) -> float:
    """Return the processor time of one run, both ends together, in microseconds."""
    clock = SystemClock()
    server = PeerServer(KEY, clock, FreezeDetector(clock))
    server.run_listener = NobodyLost()
    await server.start(HOST, 0)
    assert server.server is not None
    address = "{}:{}".format(*next(iter(server.server.sockets)).getsockname())
    directory = ModelDirectory(make_member("teller", NOWHERE), lambda node: None)
    directory.apply_update(make_member("witness", address))
    client = PeerClient(KEY, clock)
    teller = RunTeller(directory, client, lambda _: False, clock, random.Random(1), Metrics())
    telling = asyncio.create_task(teller.run())
    while teller.link is None:
        await asyncio.sleep(0.01)
    rng = random.Random(1)
    began = time.process_time()
    for ticket in range(runs):
        await teller.request_started(ticket, rng.getrandbits(64))
        teller.request_finished(ticket)
        if not ticket % AT_ONCE:
            await asyncio.sleep(0)
    took = time.process_time() - began
    telling.cancel()
    await asyncio.gather(telling, return_exceptions=True)
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
