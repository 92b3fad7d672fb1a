"""The stand-in object store over loopback HTTP, in the event loop of a scenario."""

import asyncio
import json
import random
import subprocess
import sys
from collections.abc import Coroutine
from typing import Any, TypeVar

from aiohttp import web

from marjoramtide.clock import SystemClock
from marjoramtide.errors import MarjoramtideError
from marjoramtide.store import HttpObjectStore, StoreLimits, open_object_store
from standins.object_store import ObjectStoreServer, make_server

T = TypeVar("T")
SEED = 20261202


class LeapingClock(SystemClock):
    """The system clock plus offsets that the scenario sets."""

    def __init__(self) -> None:
        self.added = 0.0
        self.added_wall = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.added

    def wall(self) -> float:
        return super().wall() + self.added + self.added_wall


class StoreHarness:
    """A store, the clock and the event loop of one scenario, until ``close``."""

    def __init__(self, server: ObjectStoreServer) -> None:
        self.loop = asyncio.new_event_loop()
        self.server = server
        self.clock = LeapingClock()
        self.runner = web.AppRunner(server.app(), access_log=None, shutdown_timeout=0)
        self.run(self.runner.setup())
        self.run(web.TCPSite(self.runner, "127.0.0.1", 0).start())
        host, port = self.runner.addresses[0]
        self.url = f"http://{host}:{port}"
        self.clients: list[HttpObjectStore] = []

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine that must finish within 30 s."""
        return self.loop.run_until_complete(asyncio.wait_for(work, 30))

    def outcome(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Return the result, or the ``MarjoramtideError`` that was raised."""
        try:
            return self.run(work)
        except MarjoramtideError as error:
            return error

    def client(self, limits: StoreLimits | None = None, url: str = "") -> HttpObjectStore:
        """Return the store client of another node."""
        rng = random.Random(SEED + len(self.clients))
        store = open_object_store(url or self.url, clock=self.clock, rng=rng, limits=limits)
        self.clients.append(store)
        return store

    def close(self) -> None:
        self.server.set_mode("up")
        for client in self.clients:
            self.run(client.close())
        self.run(self.runner.cleanup())
        self.loop.close()


def start_harness(context: Any, **limits: Any) -> StoreHarness:
    """Start a store that is closed at the end of the scenario."""
    context.store = StoreHarness(make_server(**limits))
    context.cleanup.callback(context.store.close)
    return context.store


def start_process(
    context: Any, address: str = "127.0.0.1:0"
) -> tuple["subprocess.Popen[bytes]", str]:
    """Start the stand-in as a separate process; return the process and its URL."""
    command = [sys.executable, "-m", "standins.object_store", "--listen", address]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert process.stdout is not None
    context.cleanup.callback(process.wait)
    context.cleanup.callback(process.kill)
    context.cleanup.callback(process.stdout.close)
    address = json.loads(process.stdout.readline())["address"]
    return process, f"http://{address}"
