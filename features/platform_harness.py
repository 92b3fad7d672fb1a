"""Nodes with the platform interface and stand-ins of their surroundings in one event loop."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from features.loop_stops import LoopStalls
from marjoramtide.daemon._node import Node
from marjoramtide.platform import platform_interface
from marjoramtide.settings import NodeSettings
from standins.free_port import free_port, loopback_host
from standins.platform import (
    PlatformBackendServer,
    PlatformStoreServer,
    RegistrationClient,
    start_platform_backend,
)

HOST_NAME = "shop.example"
WAIT_TIMEOUT_S = 10.0
BOUNDS = [
    "GraceS=6",
    "RetryBudgetRatio=0.2",
    "RetryBudgetSlack=64",
    "BudgetWindowS=10",
    "EvacuationMs=5000",
    "ColdExcess=1.5",
    "ColdSlack=8",
]


@attrs.define(slots=True, eq=False)
class FleetNode:
    """A node, the backend server beside it, and the client that registers that server."""

    settings: NodeSettings
    node: Node
    server: PlatformBackendServer
    registrant: RegistrationClient

    @property
    def callers(self) -> str:
        return self.settings.callers

    async def is_ready(self) -> bool:
        """Return whether the readiness endpoint tells the platform to send callers to this node."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.settings.readiness}/readiness") as response,
        ):
            return response.status == 200


class PlatformFleet:
    """A store and a number of nodes with their backend servers; ``close`` stops them all."""

    def __init__(self) -> None:
        self.host = loopback_host()
        self.store = PlatformStoreServer()
        # aiohttp takes a timeout of 0 for no limit: a pending watch request would then delay the
        # end of the scenario by up to half a minute.
        self.store_runner = web.AppRunner(self.store.app(), access_log=None, shutdown_timeout=0.2)
        self.fleet_nodes: list[FleetNode] = []
        self.rng = random.Random(1)
        self.routes: list[dict[str, Any]] = []
        self.limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1 << 20,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        self.service_fields: dict[str, Any] = {}
        self.tenants: list[dict[str, Any]] | None = None
        self.bounds = BOUNDS
        self.loop_stalls = LoopStalls()

    async def start(self) -> None:
        self.loop_stalls.start()
        await self.store_runner.setup()

    async def open_store(self) -> str:
        """Open another address of the store, by which the store can identify one node."""
        await web.TCPSite(self.store_runner, self.host, 0).start()
        return "http://{}:{}".format(*self.store_runner.addresses[-1][:2])

    def configure(self, version: int, routes: list[dict[str, Any]] | None = None) -> None:
        """Write a configuration to the store, as the operator does."""
        services = sorted({fleet_node.settings.service for fleet_node in self.fleet_nodes})
        if routes is not None:
            self.routes = routes
        self.store.state.put(
            "config",
            "main",
            Specification={
                "Version": f"r{version}",
                "Routes": self.routes,
                "Services": [
                    {"Name": name, "HealthPath": "/health", "MaxConns": 100} | self.service_fields
                    for name in services
                ],
                "Limits": self.limits,
            }
            | ({} if self.tenants is None else {"Tenants": self.tenants}),
        )

    async def add_node(
        self,
        service: str,
        *,
        service_ms: float = 5.0,
        slots: int = 10,
        instance: str = "i-1",
        data_centre: str = "z",
    ) -> FleetNode:
        """Start a backend server and the node beside it, without registering the server.

        If health checks of the server succeed and state its instance, the node uses it before it is
        registered. An empty ``instance`` prevents that.
        """
        server = await start_platform_backend(self.host, service_ms=service_ms, slots=slots)
        server.instance = instance
        addresses = [f"{self.host}:{free_port(self.host)}" for _ in range(7)]
        callers, peers, gossip, operators, readiness, registration, metrics = addresses
        settings = NodeSettings(
            name=f"node-{len(self.fleet_nodes) + 1}",
            service=service,
            region="r",
            data_centre=data_centre,
            callers=callers,
            peers=peers,
            gossip=gossip,
            operators=operators,
            metrics=metrics,
            readiness=readiness,
            registration=registration,
            backend=server.name,
            store=await self.open_store(),
            key="a key for tests on loopback only",
            interface="platform",
            base_tree="deploy/base-tree.toml",
            bounds=self.bounds,
        )
        node = Node(settings, platform_interface(settings))
        registrant = RegistrationClient(registration, service, server.name, slots)
        fleet_node = FleetNode(settings, node, server, registrant)
        self.fleet_nodes.append(fleet_node)
        await node.start()
        return fleet_node

    async def restart_node(self, number: int) -> None:
        """Stop a node without announcing it, and start a new one at the same addresses."""
        fleet_node = self.fleet_nodes[number]
        await self.stop_without_leaving(fleet_node.node)
        fleet_node.node = Node(fleet_node.settings, platform_interface(fleet_node.settings))
        await fleet_node.node.start()

    async def stop_without_leaving(self, node: Node) -> None:
        await node.membership.stop(leave=False)
        await node.ingress.close()
        await node.close()

    async def settle(self) -> None:
        """Register each backend server, and wait until all nodes know all and take callers."""
        for fleet_node in self.fleet_nodes:
            await fleet_node.registrant.heartbeat(fleet_node.server.instance)
        await self.wait_for(
            lambda: all(self.knows_all(fleet_node) for fleet_node in self.fleet_nodes)
        )
        # While they start, nodes poll the store; once a watch is open, changes reach them at once.
        await self.wait_for(lambda: self.store.calls["watches"] > 0)

    def knows_all(self, fleet_node: FleetNode) -> bool:
        services = {each.settings.service for each in self.fleet_nodes}
        known = sum(len(fleet_node.node.membership.members_of(service)) for service in services)
        return fleet_node.node.accepts_callers() and known == len(self.fleet_nodes)

    async def wait_for(
        self, condition: Callable[[], bool], timeout: float = WAIT_TIMEOUT_S
    ) -> None:
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.02)

    async def call(
        self,
        fleet_node: FleetNode,
        path: str = "/tiles/7",
        *,
        method: str = "GET",
        attempt: str = "",
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> "CallResult":
        """Send one request of a client through a node."""
        sent = {
            "Host": HOST_NAME,
            "X-Attempt-Id": attempt or f"{self.rng.getrandbits(64):016x}",
            "X-Deadline-Ms": "1500",
        } | (headers or {})
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, f"http://{fleet_node.callers}{path}", headers=sent, data=body
            ) as response,
        ):
            content = await response.read()
            return CallResult(
                sent["X-Attempt-Id"], response.status, dict(response.headers), content
            )

    async def close(self) -> None:
        self.loop_stalls.close()
        for fleet_node in self.fleet_nodes:
            await self.stop_without_leaving(fleet_node.node)
            await fleet_node.server.close()
        self.store.mode = "reset"
        self.store.state.compact_history()
        await self.store_runner.cleanup()


@attrs.frozen(slots=True)
class CallResult:
    """The response to a client, with the id of its attempt."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes


def route(
    prefix: str, split: dict[str, int], *, kind: str = "idempotent", **fields: Any
) -> dict[str, Any]:
    """Return a route in the form in which the operator writes it."""
    parts = [{"Service": name, "Weight": weight} for name, weight in split.items()]
    target: dict[str, Any] = (
        {"Service": parts[0]["Service"]} if len(parts) == 1 else {"WeightedSplit": parts}
    )
    return {
        "Name": f"r{prefix.replace('/', '-')}",
        "Host": HOST_NAME,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 1000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "MaxAttempts": 2,
        **target,
        **fields,
    }
