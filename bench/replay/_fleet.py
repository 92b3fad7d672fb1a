"""The processes of one site: the store stand-in, and nodes with their backend servers."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Self

import tomlkit

from bench.load import Backends, Caller, Outcome, PlannedCall, StandInReport
from bench.replay._policies import DIRECT
from bench.replay._seat import Seat
from bench.replay._site import Service, Site
from standins.mesh import Mesh, NodePlan

READY_TIMEOUT_S = 30
WARM_UP_WAIT_S = 0.1


def make_plans(site: Site, seed: int) -> list[NodePlan]:
    """Return the pairs of backend server and node of ``site``."""
    return [
        NodePlan(
            service=service.name,
            data_centre=centre,
            slots=service.slots,
            service_ms=service.service_ms,
            seed=seed + index,
            connections=service.connections,
        )
        for index, (service, _, centre) in enumerate(site.places())
    ]


def settings_text(site: Site, policy: str, changes: dict[str, Any]) -> str:
    """Return the settings tree of ``site``: the users differ by it alone."""
    services = {
        service.name: {"slots": service.slots, "connections": service.connections}
        for service in site.services
    }
    return tomlkit.dumps({**site.settings, "selector": policy, **changes, "services": services})


class Fleet:
    """A site that runs, under one selector and ``changes`` of the settings' root branch."""

    def __init__(
        self, site: Site, policy: str, folder: Path, seed: int, changes: dict[str, Any]
    ) -> None:
        self.site = site
        self.policy = policy
        self.mesh = Mesh(folder, make_plans(site, seed), settings_text(site, policy, changes))
        self.seats = [
            Seat(service, number, pair, with_node=policy != DIRECT)
            for (service, number, _), pair in zip(site.places(), self.mesh.nodes, strict=True)
        ]
        for pair in self.mesh.nodes:
            pair.extra_settings = {"region": site.region, "log_level": "warning"}

    def entries(self) -> dict[str, Sequence[str]]:
        """Return where callers enter: any node, or for ``direct`` the service's own servers."""
        if self.policy == DIRECT:
            return {
                service.name: [seat.backend for seat in self.seats if seat.service is service]
                for service in self.site.services
            }
        nodes = [seat.pair.callers for seat in self.seats]
        return {service.name: nodes for service in self.site.services}

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.mesh.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.mesh.stop()

    async def start(self) -> None:
        """Start everything and wait until each entry serves each service."""
        if self.policy == DIRECT:
            await asyncio.gather(*(seat.start() for seat in self.seats))
        else:
            await self.mesh.start()
        async with asyncio.TaskGroup() as group:
            for service, addresses in self.entries().items():
                for address in addresses:
                    group.create_task(self.until_served(service, address))
        async with Backends([seat.backend for seat in self.seats]) as backends:
            await backends.reset()

    async def until_served(self, service: str, address: str) -> None:
        """Call a service through one entry until it answers; raises ``RuntimeError`` if never."""
        call = PlannedCall(
            at_s=0,
            request_id="warm-up",
            service=service,
            label="warm-up",
            timeout_ms=2000,
            retries=int(READY_TIMEOUT_S / WARM_UP_WAIT_S),
            retry_wait_ms=WARM_UP_WAIT_S * 1000,
        )
        async with Caller({service: [address]}) as caller:
            last = (await caller.call(call))[-1]
        if last.outcome is not Outcome.COMPLETED:
            said = self.mesh.output()
            raise RuntimeError(f"{service} is not served at {address}: {last}\n{said}")

    async def replace(self, seat: Seat, faults: dict[str, Any]) -> None:
        """End an instance in good order and start another at its address."""
        await seat.stop()
        await seat.pair.start_server()
        if faults:
            await self.mesh.wait_for(lambda: answers_at(seat.backend))
            await seat.pair.set_faults(**faults)
        if seat.with_node:
            await seat.pair.start_node()

    async def reports(self) -> list[StandInReport]:
        """Return what each stand-in has run, those that have ended included."""
        async with Backends([seat.backend for seat in self.seats if seat.running]) as backends:
            running = await backends.reports()
        return [*running, *(report for seat in self.seats for report in seat.ended)]

    def service_at(self, address: str) -> Service:
        """Return the service of the backend server at ``address``."""
        return next(seat.service for seat in self.seats if seat.backend == address)

    def node_cpu_s(self) -> float:
        """Return the processor time of all nodes there have been, in seconds."""
        return sum(seat.node_cpu_s() for seat in self.seats)


async def answers_at(address: str) -> bool:
    """Tell whether a stand-in answers at ``address``."""
    async with Backends([address]) as backends:
        return await backends.are_responding()
