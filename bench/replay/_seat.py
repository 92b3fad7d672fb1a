"""A backend server of the site with the node beside it."""

import asyncio
import json

import attrs

from bench.load import StandInReport, stand_in_report
from bench.replay._processor_time import processor_time_s
from bench.replay._site import Service
from standins.mesh import MeshNode


@attrs.define(slots=True, eq=False)
class Seat:
    """One instance, and what the processes that have ended here left behind."""

    service: Service
    number: int
    pair: MeshNode
    with_node: bool
    ended: list[StandInReport] = attrs.field(factory=list)
    ended_cpu_s: float = 0.0

    @property
    def backend(self) -> str:
        return self.pair.backend

    @property
    def running(self) -> bool:
        return self.pair.server is not None and self.pair.server.running

    def matches(self, target: str) -> bool:
        """Tell whether a timeline's target names this seat."""
        kind, _, which = target.partition("/")
        if kind == "data_centre":
            return which == self.pair.plan.data_centre
        return kind == self.service.name and which in ("*", str(self.number))

    async def start(self) -> None:
        """Start the stand-in and the node."""
        await self.pair.start_server()
        if self.with_node:
            await self.pair.start_node()

    async def stop(self) -> None:
        """End the node in good order and then the stand-in, as a planned stop does."""
        if self.pair.process is not None:
            self.ended_cpu_s += processor_time_s(self.pair.process)
            await self.pair.process.stop()
        await self.stop_server()

    async def kill(self) -> None:
        """End both at once without warning.

        The stand-in breaks its connections just as abruptly, but still prints what it has run.
        """
        node = self.pair.process
        self.ended_cpu_s += processor_time_s(node)
        await asyncio.gather(self.stop_server(), *([node.kill()] if node is not None else []))

    async def stop_server(self) -> None:
        """End the stand-in and keep what it says at its end."""
        server = self.pair.server
        if server is not None and server.running:
            await server.stop()
            said = json.loads(server.text().splitlines()[-1])
            self.ended.append(stand_in_report(self.backend, said))

    def node_cpu_s(self) -> float:
        """Return the processor time of all nodes there have been here, in seconds."""
        return self.ended_cpu_s + processor_time_s(self.pair.process)
