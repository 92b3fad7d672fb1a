"""Real nodes on the platform's interface, beside stand-ins in the process of the play."""

import asyncio
import time
from pathlib import Path
from typing import Any, Self

import aiohttp
import attrs
import tomlkit
from aiohttp import web

from bench.limits._lookups import LookupResponse
from standins.free_port import free_port, loopback_host
from standins.mesh._process import ManagedProcess, start_process
from standins.platform import (
    PlatformBackendServer,
    PlatformStoreServer,
    Registrant,
    start_platform_backend,
)

HOST_NAME = "shop.example"
SERVICE = "mapdesk"
SLOTS = 18
HEARTBEAT_S = 1.5
READY_S = 20.0
TIMEOUT_MS = 1500
PORTS = ("callers", "peers", "gossip", "operators", "readiness", "registration")
ROUTE = {
    "Name": "tiles",
    "Host": HOST_NAME,
    "PathPrefix": "/tiles/",
    "Kind": "idempotent",
    "TimeoutMs": TIMEOUT_MS,
    "TargetLatencyMs": 500,
    "Priority": 1,
    "MaxAttempts": 2,
    "Service": SERVICE,
}


@attrs.define(slots=True, eq=False)
class LimitSeat:
    """A node as a process, and the server beside it."""

    name: str
    settings: dict[str, Any]
    server: PlatformBackendServer
    registrant: Registrant
    process: ManagedProcess | None = None


class LimitFleet:
    """A store, servers and nodes; all of it ends with the block."""

    def __init__(self, folder: Path, nodes: int, service_ms: float) -> None:
        self.folder = folder
        self.nodes = nodes
        self.service_ms = service_ms
        self.host = loopback_host()
        self.store = PlatformStoreServer()
        self.runner = web.AppRunner(self.store.app(), access_log=None, shutdown_timeout=0.2)
        self.seats: list[LimitSeat] = []
        self.beats: list[asyncio.Task[None]] = []
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        await self.runner.setup()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.configure()
        for number in range(self.nodes):
            self.seats.append(await self.make_seat(number, await self.open_store()))
        await asyncio.gather(*(self.start(each) for each in self.seats))
        self.beats = [asyncio.create_task(self.beat(each)) for each in self.seats]
        await asyncio.gather(*(self.wait_ready(each) for each in self.seats))
        return self

    async def __aexit__(self, *_: object) -> None:
        for beat in self.beats:
            beat.cancel()
        for each in self.seats:
            if each.process is not None:
                await each.process.kill()
            await each.server.close()
        assert self.session is not None
        await self.session.close()
        self.store.state.forget_history()
        await self.runner.cleanup()

    bounds: tuple[str, ...] = ("GraceS=6", "RetryBudgetRatio=0.2", "RetryBudgetSlack=64")
    version = 4

    def specification(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20}
        service = {"Name": SERVICE, "HealthPath": "/health", "MaxConns": 220}
        return {
            "Version": f"r{self.version}",
            "Routes": [ROUTE],
            "Services": [service],
            "Limits": limits,
        }

    def configure(self) -> None:
        """Write the configuration as the operator does."""
        self.store.state.put("config", "main", Specification=self.specification())

    async def open_store(self) -> str:
        """Return a new address of the store, so that it can tell one node from the others."""
        await web.TCPSite(self.runner, self.host, 0).start()
        return "http://{}:{}".format(*self.runner.addresses[-1][:2])

    async def make_seat(self, number: int, store: str) -> LimitSeat:
        server = await start_platform_backend(self.host, service_ms=self.service_ms, slots=SLOTS)
        server.instance = f"i-{number}"
        addresses = {port: f"{self.host}:{free_port(self.host)}" for port in PORTS}
        settings = addresses | {
            "name": f"node-{number}",
            "service": SERVICE,
            "region": "r",
            "data_centre": f"z{number % 3}",
            "backend": server.name,
            "store": store,
            "key": "a key for plays on loopback only",
            "interface": "platform",
            "base_tree": "deploy/base-tree.toml",
            "bounds": list(self.bounds),
        }
        registrant = Registrant(addresses["registration"], SERVICE, server.name, SLOTS)
        return LimitSeat(f"node-{number}", settings, server, registrant)

    async def start(self, seat: LimitSeat) -> None:
        """Start the node of a seat."""
        path = self.folder / f"{seat.name}.toml"
        path.write_text(tomlkit.dumps(seat.settings))
        arguments = ["marjoramtide.daemon.main", "--settings", str(path)]
        seat.process = await start_process(seat.name, arguments, self.folder)

    async def beat(self, seat: LimitSeat) -> None:
        """Send the heartbeats of a server, which always say that it is ready."""
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await seat.registrant.heartbeat(seat.server.instance)
            except (OSError, TimeoutError, aiohttp.ClientError):
                pass  # the node is down, or stopped
            await asyncio.sleep(HEARTBEAT_S)

    async def wait_ready(self, seat: LimitSeat) -> None:
        """Wait until callers may be sent to a node."""
        assert self.session is not None
        ends = time.monotonic() + READY_S
        while time.monotonic() < ends:
            try:
                async with self.session.get(
                    f"http://{seat.settings['readiness']}/readiness"
                ) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass  # not listening yet
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{seat.name} takes no callers after {READY_S} s")

    async def send(self, turn: int, attempt: str, key: str = "") -> LookupResponse:
        """Send a lookup through a node, with a caller's key where there is one."""
        assert self.session is not None
        headers = {
            "Host": HOST_NAME,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(TIMEOUT_MS),
        } | ({"Authorization": f"Token {key}"} if key else {})
        url = f"http://{self.seats[turn].settings['callers']}/tiles/{attempt}"
        async with (
            asyncio.timeout(2 * TIMEOUT_MS / 1000),
            self.session.get(url, headers=headers) as response,
        ):
            await response.read()
            return LookupResponse(response.status, dict(response.headers))
