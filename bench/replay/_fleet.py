"""The processes of a site: the store stand-in, nodes and backend servers."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Self

import tomlkit

from bench.load import Backends, Caller, Outcome, PlannedCall, StandInReport
from bench.replay._instance import Instance
from bench.replay._policies import DIRECT
from bench.replay._site import Service, Site
from standins.mesh import Mesh, NodePlan

READY_TIMEOUT_S = 30
WARM_UP_RETRY_S = 0.1


def make_plans(site: Site, seed: int) -> list[NodePlan]:
    """Return the plans of the nodes and backend servers of ``site``."""
    return [
        NodePlan(
            service=service.name,
            data_centre=centre,
            slots=service.slots,
            service_ms=service.service_ms,
            seed=seed + index,
            connections=service.connections,
        )
        for index, (service, _, centre) in enumerate(site.placements())
    ]


def settings_tree(site: Site, policy: str, changes: dict[str, Any]) -> str:
    """Return the settings tree of ``site``, the only difference between the users."""
    services = {
        service.name: {"slots": service.slots, "connections": service.connections}
        for service in site.services
    }
    return tomlkit.dumps({**site.settings, "selector": policy, **changes, "services": services})


class Fleet:
    """A running site with one selector and ``changes`` to the settings' root branch."""

    def __init__(
        self, site: Site, policy: str, folder: Path, seed: int, changes: dict[str, Any]
    ) -> None:
        self.site = site
        self.policy = policy
        self.mesh = Mesh(folder, make_plans(site, seed), settings_tree(site, policy, changes))
        self.instances = [
            Instance(service, number, mesh_node, with_node=policy != DIRECT)
            for (service, number, _), mesh_node in zip(
                site.placements(), self.mesh.nodes, strict=True
            )
        ]
        for mesh_node in self.mesh.nodes:
            mesh_node.extra_settings = {"region": site.region, "log_level": "warning"}

    def caller_addresses(self) -> dict[str, Sequence[str]]:
        """Return the addresses for callers: all nodes, or for ``direct`` the service's servers."""
        if self.policy == DIRECT:
            return {
                service.name: [
                    instance.backend for instance in self.instances if instance.service is service
                ]
                for service in self.site.services
            }
        nodes = [instance.mesh_node.callers for instance in self.instances]
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
        """Start all processes and wait until each address serves each service."""
        if self.policy == DIRECT:
            await asyncio.gather(*(instance.start() for instance in self.instances))
        else:
            await self.mesh.start()
        async with asyncio.TaskGroup() as group:
            for service, addresses in self.caller_addresses().items():
                for address in addresses:
                    group.create_task(self.wait_until_served(service, address))
        async with Backends([instance.backend for instance in self.instances]) as backends:
            await backends.reset()

    async def wait_until_served(self, service: str, address: str) -> None:
        """Call a service at one address until it succeeds; raises ``RuntimeError`` if never."""
        call = PlannedCall(
            at_s=0,
            request_id="warm-up",
            service=service,
            label="warm-up",
            timeout_ms=2000,
            retries=int(READY_TIMEOUT_S / WARM_UP_RETRY_S),
            retry_wait_ms=WARM_UP_RETRY_S * 1000,
        )
        async with Caller({service: [address]}) as caller:
            last = (await caller.call(call))[-1]
        if last.outcome is not Outcome.COMPLETED:
            output = self.mesh.output()
            raise RuntimeError(f"{service} is not served at {address}: {last}\n{output}")

    async def replace(self, instance: Instance, faults: dict[str, Any]) -> None:
        """Stop an instance gracefully and start another at its address."""
        await instance.stop()
        await instance.mesh_node.start_server()
        if faults:
            await self.mesh.wait_for(lambda: is_responding(instance.backend))
            await instance.mesh_node.set_faults(**faults)
        if instance.with_node:
            await instance.mesh_node.start_node()

    async def reports(self) -> list[StandInReport]:
        """Return the reports of all stand-ins, including those that have exited."""
        async with Backends(
            [instance.backend for instance in self.instances if instance.running]
        ) as backends:
            running = await backends.reports()
        return [
            *running,
            *(report for instance in self.instances for report in instance.final_reports),
        ]

    def service_at(self, address: str) -> Service:
        """Return the service of the backend server at ``address``."""
        return next(instance.service for instance in self.instances if instance.backend == address)

    def node_cpu_s(self) -> float:
        """Return the processor time of all nodes, including exited ones, in seconds."""
        return sum(instance.node_cpu_s() for instance in self.instances)


async def is_responding(address: str) -> bool:
    """Tell whether a stand-in responds at ``address``."""
    async with Backends([address]) as backends:
        return await backends.are_responding()
