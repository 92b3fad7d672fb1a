"""Nodes on the platform's interface, with stand-ins around them, inside a scenario's event loop."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from features.loop_stops import LoopStops
from marjoramtide.daemon._node import Node
from marjoramtide.platform import platform_interface
from marjoramtide.settings import NodeSettings
from standins.free_port import free_port, loopback_host
from standins.platform import (
    PlatformBackendServer,
    PlatformStoreServer,
    Registrant,
    start_platform_backend,
)

HOST_NAME = "shop.example"
WAIT_S = 10.0
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
    """One node with the backend server beside it."""

    settings: NodeSettings
    node: Node
    server: PlatformBackendServer
    registrant: Registrant

    @property
    def callers(self) -> str:
        return self.settings.callers

    async def ready(self) -> bool:
        """Tell whether the platform would send callers here."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.settings.readiness}/readiness") as response,
        ):
            return response.status == 200


class PlatformFleet:
    """A store, an operator and seats; ``close`` ends them."""

    def __init__(self) -> None:
        self.host = loopback_host()
        self.store = PlatformStoreServer()
        # Not 0, which the library takes for no limit: a watch that waits would hold up the end of a
        # scenario by its half minute.
        self.runner = web.AppRunner(self.store.app(), access_log=None, shutdown_timeout=0.2)
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
        self.stops = LoopStops()

    async def start(self) -> None:
        self.stops.start()
        await self.runner.setup()

    async def open_store(self) -> str:
        """Return a new address of the store, so that it can tell one node from the others."""
        await web.TCPSite(self.runner, self.host, 0).start()
        return "http://{}:{}".format(*self.runner.addresses[-1][:2])

    def configure(self, version: int, routes: list[dict[str, Any]] | None = None) -> None:
        """Write a configuration as the operator does."""
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
        """Start a backend server and the node beside it; nothing is registered yet.

        A node that finds its server sound and with an identity takes it before any registration;
        with an empty ``instance`` it can't.
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
        registrant = Registrant(registration, service, server.name, slots)
        fleet_node = FleetNode(settings, node, server, registrant)
        self.fleet_nodes.append(fleet_node)
        await node.start()
        return fleet_node

    async def restart_node(self, number: int) -> None:
        """End the node of a seat without a word, and start another at its addresses."""
        fleet_node = self.fleet_nodes[number]
        await self.end_node(fleet_node.node)
        fleet_node.node = Node(fleet_node.settings, platform_interface(fleet_node.settings))
        await fleet_node.node.start()

    async def end_node(self, node: Node) -> None:
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
        # From here on changes are heard of at once; before, nodes that start look in turn.
        await self.wait_for(lambda: self.store.calls["watches"] > 0)

    def knows_all(self, fleet_node: FleetNode) -> bool:
        services = {each.settings.service for each in self.fleet_nodes}
        known = sum(len(fleet_node.node.membership.members_of(service)) for service in services)
        return fleet_node.node.takes_callers() and known == len(self.fleet_nodes)

    async def wait_for(self, condition: Callable[[], bool], timeout: float = WAIT_S) -> None:
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
        """Make one request of a client through a seat's node."""
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
        self.stops.close()
        for fleet_node in self.fleet_nodes:
            await self.end_node(fleet_node.node)
            await fleet_node.server.close()
        self.store.mode = "reset"
        self.store.state.forget_history()
        await self.runner.cleanup()


@attrs.frozen(slots=True)
class CallResult:
    """What a client got."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes


def route(
    prefix: str, split: dict[str, int], *, kind: str = "idempotent", **fields: Any
) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    parts = [{"Service": name, "Weight": weight} for name, weight in split.items()]
    where: dict[str, Any] = (
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
        **where,
        **fields,
    }
