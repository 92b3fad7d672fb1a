"""Real node processes with the platform interface, beside stand-ins in this process."""

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
READY_TIMEOUT_S = 20.0
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
class NodeHost:
    """A node process and the backend server beside it."""

    name: str
    settings: dict[str, Any]
    server: PlatformBackendServer
    registrant: Registrant
    process: ManagedProcess | None = None


class LimitFleet:
    """A store, servers and nodes, which are stopped at the end of the block."""

    def __init__(self, folder: Path, nodes: int, service_ms: float) -> None:
        self.folder = folder
        self.nodes = nodes
        self.service_ms = service_ms
        self.host = loopback_host()
        self.store = PlatformStoreServer()
        self.runner = web.AppRunner(self.store.app(), access_log=None, shutdown_timeout=0.2)
        self.hosts: list[NodeHost] = []
        self.heartbeat_tasks: list[asyncio.Task[None]] = []
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        await self.runner.setup()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.configure()
        for number in range(self.nodes):
            self.hosts.append(await self.make_host(number, await self.open_store()))
        await asyncio.gather(*(self.start(each) for each in self.hosts))
        self.heartbeat_tasks = [
            asyncio.create_task(self.send_heartbeats(each)) for each in self.hosts
        ]
        await asyncio.gather(*(self.wait_ready(each) for each in self.hosts))
        return self

    async def __aexit__(self, *_: object) -> None:
        for send_heartbeats in self.heartbeat_tasks:
            send_heartbeats.cancel()
        for each in self.hosts:
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
        """Return the configuration that operators write to the store."""
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20}
        service = {"Name": SERVICE, "HealthPath": "/health", "MaxConns": 220}
        return {
            "Version": f"r{self.version}",
            "Routes": [ROUTE],
            "Services": [service],
            "Limits": limits,
        }

    def configure(self) -> None:
        """Write the configuration to the store as operators do."""
        self.store.state.put("config", "main", Specification=self.specification())

    async def open_store(self) -> str:
        """Return a new address of the store, which identifies one node to the store."""
        await web.TCPSite(self.runner, self.host, 0).start()
        return "http://{}:{}".format(*self.runner.addresses[-1][:2])

    async def make_host(self, number: int, store: str) -> NodeHost:
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
        return NodeHost(f"node-{number}", settings, server, registrant)

    async def start(self, host: NodeHost) -> None:
        """Start the node process of a host."""
        path = self.folder / f"{host.name}.toml"
        path.write_text(tomlkit.dumps(host.settings))
        arguments = ["marjoramtide.daemon.main", "--settings", str(path)]
        host.process = await start_process(host.name, arguments, self.folder)

    async def send_heartbeats(self, host: NodeHost) -> None:
        """Send heartbeats of a server, always with the state ready."""
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await host.registrant.heartbeat(host.server.instance)
            except (OSError, TimeoutError, aiohttp.ClientError):
                pass  # the node is down or suspended
            await asyncio.sleep(HEARTBEAT_S)

    async def wait_ready(self, host: NodeHost) -> None:
        """Wait until a node reports readiness for callers."""
        assert self.session is not None
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_at:
            try:
                async with self.session.get(
                    f"http://{host.settings['readiness']}/readiness"
                ) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass  # not listening yet
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{host.name} is not ready after {READY_TIMEOUT_S} s")

    async def send(self, turn: int, attempt: str, key: str = "") -> LookupResponse:
        """Send a lookup through a node, with a caller's key if one is given."""
        assert self.session is not None
        headers = {
            "Host": HOST_NAME,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(TIMEOUT_MS),
        } | ({"Authorization": f"Token {key}"} if key else {})
        url = f"http://{self.hosts[turn].settings['callers']}/tiles/{attempt}"
        async with (
            asyncio.timeout(2 * TIMEOUT_MS / 1000),
            self.session.get(url, headers=headers) as response,
        ):
            await response.read()
            return LookupResponse(response.status, dict(response.headers))
