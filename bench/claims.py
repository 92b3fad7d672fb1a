"""Measures the rate of claims that exhausts the store: ``python -m bench.claims``.

Starts the stand-in store as a process with the platform's limits. The claims services of many
nodes, all in this process, acquire and record fresh keys at fixed rates in an open loop: requests
start whether or not earlier ones have completed. Prints a line for each rate and a JSON line at
the end.
"""

import argparse
import asyncio
import itertools
import json
import random
import subprocess
import sys
import time
from collections import Counter
from statistics import quantiles

import aiohttp
import attrs

from marjoramtide.claims import ClaimOutcome, Claims, ClaimState, make_claims
from marjoramtide.clock import SystemClock
from marjoramtide.settings import RouteSettings
from marjoramtide.store import open_object_store

SEED = 20261202
DEADLINE_S = 1.0
HEADER = "offered/s   held  refused  p50 ms  p99 ms  CPU ms  writes/claim  unsettled"


@attrs.define(slots=True)
class RateResult:
    """The result of one rate; latencies are those of successful calls of ``acquire``."""

    offered_per_s: float
    outcomes: Counter[str] = attrs.field(factory=Counter)
    held_ms: list[float] = attrs.field(factory=list)
    cpu_ms: float = 0.0
    writes: int = 0
    unsettled: int = 0

    def summary(self) -> dict[str, float]:
        held = self.outcomes[ClaimOutcome.HELD]
        attempted = self.outcomes.total()
        cuts = quantiles(self.held_ms, n=100) if held > 1 else [0.0] * 99
        return {
            "offered_per_s": self.offered_per_s,
            "held_share": round(held / attempted, 4),
            "refused_share": round(1 - held / attempted, 4),
            "held_p50_ms": round(cuts[49], 2),
            "held_p99_ms": round(cuts[98], 2),
            "cpu_ms_per_claim": round(self.cpu_ms / attempted, 3),
            "writes_per_held": round(self.writes / max(1, held), 3),
            "unsettled_at_end": self.unsettled,
        }


async def claim_and_record(claims: Claims, key: str, result: RateResult) -> None:
    """Claim a fresh key and record its completion, as a serving node does."""
    clock = claims.clock
    requested_at = clock.monotonic()
    acquired = await claims.acquire(
        "mapdesk", key, "digest", RouteSettings(), requested_at + DEADLINE_S
    )
    result.outcomes[acquired.outcome] += 1
    if acquired.handle is not None:
        result.held_ms.append((clock.monotonic() - requested_at) * 1000)
        await claims.record(acquired.handle, ClaimState.COMPLETED, 201, (), b"booked")


async def read_write_count(url: str) -> int:
    async with aiohttp.ClientSession() as session, session.get(f"{url}/stats") as response:
        return int((await response.json())["writes"])


async def offer_rate(url: str, nodes: int, per_s: float, seconds: float, name: str) -> RateResult:
    """Offer requests to random nodes as a Poisson process of rate ``per_s``."""
    rng = random.Random(SEED)
    clock = SystemClock()
    stores = [open_object_store(url, clock=clock) for _ in range(nodes)]
    members = [make_claims(store, clock, f"node-{i}") for i, store in enumerate(stores)]
    result, numbers = RateResult(per_s), itertools.count()
    before, cpu = await read_write_count(url), time.process_time()
    started_at = due = clock.monotonic()
    async with asyncio.TaskGroup() as group:
        background = [asyncio.create_task(member.run()) for member in members]
        while due < started_at + seconds:
            await asyncio.sleep(max(0.0, due - clock.monotonic()))
            key = f"{name}-{next(numbers)}"
            group.create_task(claim_and_record(rng.choice(members), key, result))
            due += rng.expovariate(per_s)
    result.cpu_ms = (time.process_time() - cpu) * 1000
    result.writes = await read_write_count(url) - before
    result.unsettled = sum(len(member.unsettled.entries) for member in members)
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    await asyncio.gather(*(store.close() for store in stores))
    return result


async def measure(options: argparse.Namespace, url: str) -> None:
    print(HEADER, flush=True)
    rounds = []
    for per_s in options.rates:
        result = await offer_rate(url, options.nodes, per_s, options.seconds, f"at-{per_s}")
        rounds.append(line := result.summary())
        print(
            f"{per_s:9.0f} {line['held_share']:6.1%} {line['refused_share']:8.1%}"
            f" {line['held_p50_ms']:7.1f} {line['held_p99_ms']:7.1f}"
            f" {line['cpu_ms_per_claim']:7.2f} {line['writes_per_held']:13.2f}"
            f" {line['unsettled_at_end']:10.0f}",
            flush=True,
        )
        await asyncio.sleep(1)
    print(json.dumps({"seed": SEED, "nodes": options.nodes, "rounds": rounds}))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=22)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--writes-per-s", type=float, default=400)
    parser.add_argument(
        "--rates", type=float, nargs="+", default=[25, 50, 100, 150, 175, 200, 250, 300]
    )
    options = parser.parse_args()
    command = [sys.executable, "-m", "standins.object_store", "--listen", "127.0.0.1:0"]
    command += ["--writes-per-s", str(options.writes_per_s)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            assert process.stdout is not None
            address = json.loads(process.stdout.readline())["address"]
            asyncio.run(measure(options, f"http://{address}"))
        finally:
            process.terminate()


if __name__ == "__main__":
    main()
