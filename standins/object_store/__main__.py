"""Runs the object store stand-in: ``python -m standins.object_store --listen 127.0.0.1:8500``."""

import argparse
import asyncio
import json
import signal

from aiohttp import web

from marjoramtide.settings import parse_address
from standins.object_store._app import make_app


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    host, port = options.listen
    app = make_app(
        writes_per_s=options.writes_per_s,
        reads_per_s=options.reads_per_s,
        history=options.history,
    )
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    address = runner.addresses[0]
    print(json.dumps({"event": "listening", "address": f"{address[0]}:{address[1]}"}), flush=True)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    parser = argparse.ArgumentParser(prog="object_store", description=__doc__)
    parser.add_argument("--listen", required=True, type=parse_address, metavar="IP:PORT")
    parser.add_argument("--writes-per-s", type=float, default=400)
    parser.add_argument("--reads-per-s", type=float, default=2000)
    parser.add_argument("--history", type=int, default=1000, help="changes kept for watches")
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
