"""The processes of one site: the store stand-in, and nodes with their backend servers."""

import asyncio
import itertools
import os
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Self

import aiohttp

from bench.load import Backends, Caller, Outcome, PlannedCall, StandInReport
from bench.replay._process import Process
from bench.replay._seat import Seat
from bench.replay._site import Service, Site
from marjoramtide.settings import Envelope

DIRECT = "direct"  # callers go straight to a random backend server: what no balancer would give
READY_TIMEOUT_S = 30
WARM_UP_WAIT_S = 0.1
SETTINGS_KEY = "settings/tree"
numbers = itertools.count()


class Fleet:
    """A site that runs, under one selector of the settings.

    Every instance has a loopback address of its own, made from this process's id, so that fleets
    beside each other do not meet.
    """

    def __init__(self, site: Site, policy: str, folder: Path, seed: int) -> None:
        self.site = site
        self.policy = policy
        self.folder = folder
        net = f"127.{1 + os.getpid() % 250}.{next(numbers) % 250}"
        self.store_address = f"{net}.250:8500"
        self.store: Process | None = None
        self.seats = [
            Seat(
                service=service,
                number=number,
                data_centre=centre,
                ip=f"{net}.{10 + index}",
                folder=folder,
                seed=seed + index,
                with_node=policy != DIRECT,
            )
            for index, (service, number, centre) in enumerate(site.places())
        ]

    @property
    def backends(self) -> list[str]:
        return [seat.backend for seat in self.seats if seat.stand_in is not None]

    def entries(self) -> dict[str, Sequence[str]]:
        """Return where callers enter: any node, or for ``direct`` the service's own servers."""
        if self.policy == DIRECT:
            return {
                service.name: [seat.backend for seat in self.seats if seat.service is service]
                for service in self.site.services
            }
        nodes = [seat.callers for seat in self.seats]
        return {service.name: nodes for service in self.site.services}

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.end()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.end()

    async def start(self) -> None:
        """Start everything and wait until each entry serves each service."""
        if self.policy != DIRECT:
            arguments = ["standins.object_store", "--listen", self.store_address]
            self.store = Process("store", arguments, self.folder / "store.log")
            await self.store.start()
            await self.store.announced()
            await self.write_settings()
        await asyncio.gather(*(self.start_seat(seat) for seat in self.seats))
        await self.wait_until_ready()

    async def start_seat(self, seat: Seat) -> None:
        await seat.start(self.site.region, f"http://{self.store_address}")

    def settings_text(self) -> str:
        """Return the settings tree: the users differ by it alone."""
        services = "".join(
            f"[services.{service.name}]\nslots = {service.slots}\n"
            f"connections = {service.connections}\n"
            for service in self.site.services
        )
        return f'selector = "{self.policy}"\n{self.site.settings}{services}'

    async def write_settings(self) -> None:
        envelope = Envelope(
            revision=1,
            lineage="replay",
            change="replay-1",
            author="replay",
            time=time.time(),
            parent="",
            recent=[],
            text=self.settings_text(),
        )
        url = f"http://{self.store_address}/v1/objects/{SETTINGS_KEY}"
        async with (
            aiohttp.ClientSession(raise_for_status=True) as session,
            session.put(url, data=envelope.encode(), headers={"If-None-Match": "*"}),
        ):
            pass

    async def store_faults(self, **faults: Any) -> None:
        """Change the faults of the store stand-in."""
        async with (
            aiohttp.ClientSession(raise_for_status=True) as session,
            session.post(f"http://{self.store_address}/faults", json=faults),
        ):
            pass

    async def wait_until_ready(self) -> None:
        """Call every service through every entry until each has answered."""
        async with asyncio.timeout(READY_TIMEOUT_S), asyncio.TaskGroup() as group:
            for service, addresses in self.entries().items():
                for address in addresses:
                    group.create_task(self.until_served(service, address))

    async def until_served(self, service: str, address: str) -> None:
        call = PlannedCall(
            at_s=0,
            request_id="warm-up",
            service=service,
            label="warm-up",
            timeout_ms=2000,
            service_ms=1,
            retries=int(READY_TIMEOUT_S / WARM_UP_WAIT_S),
            retry_wait_ms=WARM_UP_WAIT_S * 1000,
        )
        async with Caller({service: [address]}) as caller:
            last = (await caller.call(call))[-1]
        if last.outcome is not Outcome.COMPLETED:
            raise RuntimeError(f"{service} is not served at {address}: {last}")

    async def replace(self, seat: Seat, faults: dict[str, Any]) -> None:
        """End an instance in good order and start another at its address."""
        await seat.stop()
        await self.start_seat(seat)
        async with Backends([seat.backend]) as backends:
            await backends.set_faults(seat.backend, **faults)

    async def reports(self) -> list[StandInReport]:
        """Return what each stand-in has run, those that have ended included."""
        async with Backends(self.backends) as backends:
            running = await backends.reports()
        return [*running, *(report for seat in self.seats for report in seat.ended)]

    def service_at(self, address: str) -> Service:
        """Return the service of the backend server at ``address``."""
        return next(seat.service for seat in self.seats if seat.backend == address)

    def node_cpu_s(self) -> float:
        """Return the processor time of all nodes there have been, in seconds."""
        return sum(node.cpu_s() for seat in self.seats for node in seat.nodes())

    async def end(self) -> None:
        """End every process; nodes first, all at the same time."""
        await asyncio.gather(*(seat.stop() for seat in self.seats))
        if self.store is not None:
            await self.store.end()
