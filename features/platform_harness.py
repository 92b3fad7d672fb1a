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
    RegistrationClient,
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
class Seat:
    """One node with the backend server beside it."""

    settings: NodeSettings
    node: Node
    server: PlatformBackendServer
    registrant: RegistrationClient

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
        self.seats: list[Seat] = []
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
        services = sorted({seat.settings.service for seat in self.seats})
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

    async def add_seat(
        self,
        service: str,
        *,
        service_ms: float = 5.0,
        slots: int = 10,
        instance: str = "i-1",
        data_centre: str = "z",
    ) -> Seat:
        """Start a backend server and the node beside it; nothing is registered yet.

        A node that finds its server sound and with an identity takes it before any registration;
        with an empty ``instance`` it can't.
        """
        server = await start_platform_backend(self.host, service_ms=service_ms, slots=slots)
        server.instance = instance
        addresses = [f"{self.host}:{free_port(self.host)}" for _ in range(7)]
        callers, peers, gossip, operators, readiness, registration, metrics = addresses
        settings = NodeSettings(
            name=f"node-{len(self.seats) + 1}",
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
        seat = Seat(settings, node, server, registrant)
        self.seats.append(seat)
        await node.start()
        return seat

    async def restart_node(self, number: int) -> None:
        """End the node of a seat without a word, and start another at its addresses."""
        seat = self.seats[number]
        await self.end_node(seat.node)
        seat.node = Node(seat.settings, platform_interface(seat.settings))
        await seat.node.start()

    async def end_node(self, node: Node) -> None:
        await node.membership.stop(leave=False)
        await node.ingress.close()
        await node.close()

    async def settle(self) -> None:
        """Register each backend server, and wait until all nodes know all and take callers."""
        for seat in self.seats:
            await seat.registrant.heartbeat(seat.server.instance)
        await self.wait_for(lambda: all(self.knows_all(seat) for seat in self.seats))
        # From here on changes are heard of at once; before, nodes that start look in turn.
        await self.wait_for(lambda: self.store.calls["watches"] > 0)

    def knows_all(self, seat: Seat) -> bool:
        services = {each.settings.service for each in self.seats}
        known = sum(len(seat.node.membership.members_of(service)) for service in services)
        return seat.node.accepts_callers() and known == len(self.seats)

    async def wait_for(self, condition: Callable[[], bool], timeout: float = WAIT_S) -> None:
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.02)

    async def call(
        self,
        seat: Seat,
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
                method, f"http://{seat.callers}{path}", headers=sent, data=body
            ) as response,
        ):
            content = await response.read()
            return CallResult(
                sent["X-Attempt-Id"], response.status, dict(response.headers), content
            )

    async def close(self) -> None:
        self.stops.close()
        for seat in self.seats:
            await self.end_node(seat.node)
            await seat.server.close()
        self.store.mode = "reset"
        self.store.state.compact_history()
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
