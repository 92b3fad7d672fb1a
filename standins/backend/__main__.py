"""Runs a backend server stand-in until SIGTERM or SIGINT."""

import argparse
import asyncio
import json
import signal

from standins.backend._faults import Faults
from standins.backend._server import start_backend


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m standins.backend", description=__doc__)
    parser.add_argument("--listen", required=True, help="IP:PORT; port 0 picks a free port")
    parser.add_argument("--slots", type=int, default=10)
    parser.add_argument("--connections", type=int, default=250)
    parser.add_argument("--service-ms", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--journal", default="", help="file that records each execution")
    parser.add_argument("--deadly", default="", help="path of requests that crash the stand-in")
    parser.add_argument(
        "--deadly-lingers-ms",
        type=float,
        default=0.0,
        help="time from breaking all connections to the exit",
    )
    parser.add_argument("--deadly-freezes", action="store_true", help="freeze instead of crashing")
    return parser.parse_args()


async def run(options: argparse.Namespace) -> None:
    host, _, port = options.listen.rpartition(":")
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
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
    await stopped.wait()
    await server.close()
    # An audit reads the executions from this line after the process has exited.
    print(json.dumps({"event": "ended", **server.report()}), flush=True)


if __name__ == "__main__":
    asyncio.run(run(parse()))
