"""Instances of a site: a backend server and its node."""

import asyncio
import json

import attrs

from bench.load import StandInReport, stand_in_report
from bench.replay._processor_time import processor_time_s
from bench.replay._site import Service
from standins.mesh import MeshNode


@attrs.define(slots=True, eq=False)
class Instance:
    """One instance, with the reports and processor time of its processes that have exited."""

    service: Service
    number: int
    mesh_node: MeshNode
    with_node: bool
    final_reports: list[StandInReport] = attrs.field(factory=list)
    exited_cpu_s: float = 0.0

    @property
    def backend(self) -> str:
        return self.mesh_node.backend

    @property
    def running(self) -> bool:
        return self.mesh_node.server is not None and self.mesh_node.server.running

    def matches(self, target: str) -> bool:
        """Tell whether a timeline's target names this instance."""
        kind, _, which = target.partition("/")
        if kind == "data_centre":
            return which == self.mesh_node.plan.data_centre
        return kind == self.service.name and which in ("*", str(self.number))

    async def start(self) -> None:
        """Start the stand-in and the node."""
        await self.mesh_node.start_server()
        if self.with_node:
            await self.mesh_node.start_node()

    async def stop(self) -> None:
        """Stop the node gracefully and then the stand-in, as in a planned stop."""
        if self.mesh_node.process is not None:
            self.exited_cpu_s += processor_time_s(self.mesh_node.process)
            await self.mesh_node.process.stop()
        await self.stop_server()

    async def kill(self) -> None:
        """Kill the node, and stop the stand-in at the same time.

        The stand-in aborts its connections as a kill would, but still prints its report.
        """
        node = self.mesh_node.process
        self.exited_cpu_s += processor_time_s(node)
        await asyncio.gather(self.stop_server(), *([node.kill()] if node is not None else []))

    async def stop_server(self) -> None:
        """Stop the stand-in and keep its final report."""
        server = self.mesh_node.server
        if server is not None and server.running:
            await server.stop()
            report = json.loads(server.text().splitlines()[-1])
            self.final_reports.append(stand_in_report(self.backend, report))

    def node_cpu_s(self) -> float:
        """Return the processor time of all nodes of this instance so far, in seconds."""
        return self.exited_cpu_s + processor_time_s(self.mesh_node.process)
