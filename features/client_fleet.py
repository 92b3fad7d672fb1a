"""Two real nodes of different services at a tenth of a machine's limits, for crowds of clients."""

import asyncio
import contextlib
import resource
import signal
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import tomlkit
from aiohttp import web

from features.platform_harness import BOUNDS, HOST_NAME, route
from standins.crowd import ProcessGauge, Target, read_process_gauge
from standins.free_port import free_port, loopback_host
from standins.mesh import ManagedProcess, Mesh, make_plan, start_process
from standins.platform import (
    PlatformBackendServer,
    PlatformStoreServer,
    RegistrationClient,
    start_platform_backend,
)

# The limits of a machine, and the part of its memory that a node without clients may take.
MACHINE_MB = 300
MACHINE_DESCRIPTORS = 4100
WITHOUT_CLIENTS_MB = 60
SCALE = 10
MB = 1024 * 1024
MEMORY_BYTES = (WITHOUT_CLIENTS_MB + (MACHINE_MB - WITHOUT_CLIENTS_MB) // SCALE) * MB
DESCRIPTORS = MACHINE_DESCRIPTORS // SCALE

GRACE_S = 6
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
HEARTBEAT_S = 1.5
BODY_BYTES = 1 << 20
HEAD_BYTES = 16384
TIMEOUT_MS = 10_000
IDLE_TIMEOUT_S = 15
SERVICES = ("mapdesk", "licencehub")
PLATFORM_PORTS = (
    "callers",
    "peers",
    "gossip",
    "operators",
    "metrics",
    "readiness",
    "registration",
)


@attrs.define(slots=True, eq=False)
class ClientNode:
    """A node's process with the most that it has taken of its machine."""

    name: str
    process: ManagedProcess
    addresses: dict[str, str]
    peak_bytes: int = 0
    peak_unread_bytes: int = 0
    peak_descriptors: int = 0

    def limit_descriptors(self) -> None:
        """Give the process a tenth of a machine's descriptors; it reads the limit later."""
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.process.process.pid, resource.RLIMIT_NOFILE, limits)

    def gauge(self) -> ProcessGauge:
        return read_process_gauge(self.process.process.pid)

    def observe(self) -> None:
        """Add what the process takes now to the most that it has taken."""
        with contextlib.suppress(OSError):
            gauge = self.gauge()
            self.peak_bytes = max(
                self.peak_bytes, gauge.peak_bytes, gauge.memory_bytes + gauge.unread_bytes
            )
            self.peak_unread_bytes = max(self.peak_unread_bytes, gauge.unread_bytes)
            self.peak_descriptors = max(self.peak_descriptors, gauge.descriptors)

    def summary(self) -> str:
        """Return the most that the process has taken, as one line."""
        return (
            f"{self.name}: {self.peak_bytes / MB:.1f} MB with bytes not read"
            f" (alone {self.peak_unread_bytes / MB:.1f} MB), {self.peak_descriptors} descriptors"
        )


class ClientFleet(ABC):
    """Two nodes beside backend servers; the first one gets the crowds."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.nodes: list[ClientNode] = []
        self.watcher: asyncio.Task[None] | None = None

    @abstractmethod
    async def start(self) -> None:
        """Start all processes and wait until each node serves both services."""

    @abstractmethod
    async def stop(self) -> None:
        """Kill all processes."""

    @abstractmethod
    def target(self, service: str) -> Target:
        """Return where requests of a service are addressed, by callers of any node."""

    async def is_answered(self, node: ClientNode, service: str) -> bool:
        """Send one ordinary request through a node; return whether its answer is a success."""
        target = self.target(service)
        lines = (line.split(": ", 1) for line in target.headers.splitlines())
        headers = {"Host": target.host} | dict(lines)
        url = f"http://{node.addresses['callers']}{target.path}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_MS / 1000)
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url, headers=headers) as response,
            ):
                return response.status == 200 and bool(await response.read())
        return False

    async def wait_answered(self, node: ClientNode, service: str) -> None:
        """Send ordinary requests, one after the other, until one has succeeded."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_answered(node, service):
                await asyncio.sleep(POLL_S)

    async def wait_ready(self) -> None:
        for node in self.nodes:
            for service in SERVICES:
                await self.wait_answered(node, service)
        self.watcher = asyncio.create_task(self.watch())

    async def watch(self) -> None:
        """Observe what the nodes take until the fleet stops."""
        while True:
            for node in self.nodes:
                node.observe()
            await asyncio.sleep(POLL_S)

    async def end(self, node: ClientNode) -> int | None:
        """Stop a node as planned; return its status, or ``None`` if its grace was not enough."""
        node.process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                return await node.process.process.wait()
        except TimeoutError:
            await node.process.kill()
            return None


class OwnProtocolFleet(ClientFleet):
    """Nodes that speak the project's own protocol."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        tree = (
            f"max_body_bytes = {BODY_BYTES}\nmax_head_bytes = {HEAD_BYTES}\n"
            f"timeout_ms = {TIMEOUT_MS}\nidle_timeout_ms = {IDLE_TIMEOUT_S * 1000}\n"
        )
        tree += "".join(f"[services.{service}]\n" for service in SERVICES)
        self.mesh = Mesh(folder, make_plan(dict.fromkeys(SERVICES, 1), service_ms=5.0), tree)

    async def start(self) -> None:
        for each in self.mesh.nodes:
            each.extra_settings = {"stop_grace_s": float(GRACE_S), "memory_mb": MEMORY_BYTES // MB}
        await self.mesh.start()
        for each in self.mesh.nodes:
            assert each.process is not None
            addresses = {"callers": each.callers, "peers": each.peers, "operators": each.operators}
            node = ClientNode(each.name, each.process, addresses)
            node.limit_descriptors()
            self.nodes.append(node)
        await self.wait_ready()

    async def stop(self) -> None:
        if self.watcher is not None:
            self.watcher.cancel()
        await self.mesh.stop()

    def target(self, service: str) -> Target:
        return Target(service, "/")


class PlatformProtocolFleet(ClientFleet):
    """Nodes that speak the platform's protocol, beside stand-ins in this process."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.host = loopback_host()
        self.store = PlatformStoreServer()
        self.runner = web.AppRunner(self.store.app(), access_log=None, shutdown_timeout=0.2)
        self.servers: list[PlatformBackendServer] = []
        self.heartbeats: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        await self.runner.setup()
        await web.TCPSite(self.runner, self.host, 0).start()
        self.configure()
        for service in SERVICES:
            await self.start_host(service)
        await self.wait_ready()

    def configure(self) -> None:
        routes = [route(f"/{service}/", {service: 1}, TimeoutMs=TIMEOUT_MS) for service in SERVICES]
        specification = {
            "Version": "r1",
            "Routes": routes,
            "Services": [
                {"Name": name, "HealthPath": "/health", "MaxConns": 100} for name in SERVICES
            ],
            "Limits": {
                "MaxHeaderBytes": HEAD_BYTES,
                "MaxBodyBytes": BODY_BYTES,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": IDLE_TIMEOUT_S * 1000,
            },
        }
        self.store.state.put("config", "main", Specification=specification)

    async def start_host(self, service: str) -> None:
        """Start a backend server and the node beside it."""
        server = await start_platform_backend(self.host)
        server.instance = f"i-{service}"
        self.servers.append(server)
        addresses = {port: f"{self.host}:{free_port(self.host)}" for port in PLATFORM_PORTS}
        settings: dict[str, Any] = addresses | {
            "name": service,
            "service": service,
            "region": "r",
            "data_centre": "z",
            "backend": server.name,
            "store": "http://{}:{}".format(*self.runner.addresses[0][:2]),
            "key": "a key for crowds on loopback only",
            "interface": "platform",
            "base_tree": "deploy/base-tree.toml",
            "memory_mb": MEMORY_BYTES // MB,
            "bounds": [each for each in BOUNDS if "GraceS" not in each] + [f"GraceS={GRACE_S}"],
        }
        path = self.folder / f"{service}.toml"
        path.write_text(tomlkit.dumps(settings))
        arguments = ["marjoramtide.daemon.main", "--settings", str(path)]
        process = await start_process(service, arguments, self.folder)
        node = ClientNode(service, process, addresses)
        node.limit_descriptors()
        self.nodes.append(node)
        registrant = RegistrationClient(addresses["registration"], service, server.name)
        self.heartbeats.append(asyncio.create_task(self.send_heartbeats(registrant, server)))

    async def send_heartbeats(
        self, registrant: RegistrationClient, server: PlatformBackendServer
    ) -> None:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                await registrant.heartbeat(server.instance)
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self) -> None:
        for task in (*self.heartbeats, *([self.watcher] if self.watcher is not None else [])):
            task.cancel()
        await asyncio.gather(*(node.process.kill() for node in self.nodes))
        await asyncio.gather(*(server.close() for server in self.servers))
        self.store.mode = "reset"
        self.store.state.compact_history()
        await self.runner.cleanup()

    def target(self, service: str) -> Target:
        headers = f"X-Attempt-Id: a-1\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\n"
        return Target(HOST_NAME, f"/{service}/7", headers)


def make_client_fleet(protocol: str, folder: Path) -> ClientFleet:
    """Return a fleet, not started, whose nodes speak ``own`` or ``platform``."""
    return PlatformProtocolFleet(folder) if protocol == "platform" else OwnProtocolFleet(folder)
