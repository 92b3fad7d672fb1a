"""Runs a backend server stand-in until it is told to end."""

import argparse
import asyncio
import json
import signal

from standins.backend._faults import Faults
from standins.backend._server import start_backend


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m standins.backend", description=__doc__)
    parser.add_argument("--listen", required=True, help="IP:PORT; port 0 takes a free one")
    parser.add_argument("--slots", type=int, default=10)
    parser.add_argument("--connections", type=int, default=250)
    parser.add_argument("--service-ms", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--journal", default="", help="file to which executions are written")
    parser.add_argument("--deadly", default="", help="path of requests that end the stand-in")
    parser.add_argument("--deadly-lingers-ms", type=float, default=0.0, help="how long it takes")
    parser.add_argument("--deadly-freezes", action="store_true", help="or that freeze it")
    return parser.parse_args()


async def run(options: argparse.Namespace) -> None:
    host, _, port = options.listen.rpartition(":")
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    server = await start_backend(
        host,
        int(port),
        slots=options.slots,
        connections=options.connections,
        service_ms=options.service_ms,
        seed=options.seed,
        journal=options.journal,
    )
    server.set_faults(
        Faults(
            deadly=options.deadly,
            deadly_lingers_ms=options.deadly_lingers_ms,
            deadly_freezes=options.deadly_freezes,
        )
    )
    print(json.dumps({"event": "listening", "address": server.name}), flush=True)
    await ended.wait()
    await server.close()
    # Whoever audits executions reads them here once the process can't be asked any more.
    print(json.dumps({"event": "ended", **server.report()}), flush=True)


if __name__ == "__main__":
    asyncio.run(run(parse()))
