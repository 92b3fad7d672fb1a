"""Applies the events of a trace at their times."""

import asyncio
import time

from bench.load import Backends
from bench.replay._event import Event
from bench.replay._fleet import Fleet
from bench.replay._instance import Instance


class Timeline:
    """Applies events to a fleet, concurrently, since a replacement takes long."""

    def __init__(self, events: list[Event], fleet: Fleet) -> None:
        self.events = sorted(events, key=lambda event: event.at_s)
        self.fleet = fleet

    async def run(self, start: float) -> None:
        """Apply all events; their times count from ``start``, a time of ``time.monotonic``."""
        async with asyncio.TaskGroup() as group:
            for event in self.events:
                await asyncio.sleep(max(0.0, start + event.at_s - time.monotonic()))
                group.create_task(self.play_event(event))

    async def play_event(self, event: Event) -> None:
        if event.action == "store":
            if self.fleet.mesh.store is not None:
                await self.fleet.mesh.store_json("POST", "/faults", event.faults)
            return
        targets = [instance for instance in self.fleet.instances if instance.matches(event.target)]
        if not targets:
            raise ValueError(f"event at {event.at_s} s: no backend server matches {event.target!r}")
        await asyncio.gather(*(self.apply_event(instance, event) for instance in targets))

    async def apply_event(self, instance: Instance, event: Event) -> None:
        match event.action:
            case "faults":
                async with Backends([instance.backend]) as backends:
                    await backends.set_faults(instance.backend, **event.faults)
            case "replace":
                await self.fleet.replace(instance, event.faults)
            case "stop":
                await instance.stop()
            case "kill":
                await instance.kill()
