"""Makes the events of a trace happen at their times."""

import asyncio
import time

from bench.load import Backends
from bench.replay._event import Event
from bench.replay._fleet import Fleet
from bench.replay._seat import Seat


class Timeline:
    """Plays events against a fleet; each runs beside the others, since a replacement takes long."""

    def __init__(self, events: list[Event], fleet: Fleet) -> None:
        self.events = sorted(events, key=lambda event: event.at_s)
        self.fleet = fleet

    async def run(self, start: float) -> None:
        """Play all events; their times count from ``start``, a time of ``time.monotonic``."""
        async with asyncio.TaskGroup() as group:
            for event in self.events:
                await asyncio.sleep(max(0.0, start + event.at_s - time.monotonic()))
                group.create_task(self.happen(event))

    async def happen(self, event: Event) -> None:
        if event.action == "store":
            if self.fleet.mesh.store is not None:
                await self.fleet.mesh.store_json("POST", "/faults", event.faults)
            return
        hit = [seat for seat in self.fleet.seats if seat.matches(event.target)]
        if not hit:
            raise ValueError(f"event at {event.at_s} s: no backend server is {event.target!r}")
        await asyncio.gather(*(self.happen_to(seat, event) for seat in hit))

    async def happen_to(self, seat: Seat, event: Event) -> None:
        match event.action:
            case "faults":
                async with Backends([seat.backend]) as backends:
                    await backends.set_faults(seat.backend, **event.faults)
            case "replace":
                await self.fleet.replace(seat, event.faults)
            case "stop":
                await seat.stop()
            case "kill":
                await seat.kill()
