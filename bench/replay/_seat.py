"""A backend server of the site with the node beside it."""

import asyncio
import json
import signal
from pathlib import Path

import attrs

from bench.load import StandInReport, stand_in_report
from bench.replay._process import Process
from bench.replay._site import Service

NODE_TOML = """\
service = "{service}"
region = "{region}"
data_centre = "{data_centre}"
callers = "{callers}"
peers = "{ip}:7101"
gossip = "{ip}:7102"
operators = "{ip}:7103"
backend = "{backend}"
store = "{store}"
key = "replay-key-0123456789"
name = "{name}"
log_level = "warning"
"""


@attrs.define(slots=True)
class Seat:
    """One instance: its own loopback address, stand-in and node process."""

    service: Service
    number: int
    data_centre: str
    ip: str
    folder: Path
    seed: int
    stand_in: Process | None = None
    node: Process | None = None
    earlier: list[Process] = attrs.field(factory=list)
    ended: list[StandInReport] = attrs.field(factory=list)
    with_node: bool = True

    @property
    def name(self) -> str:
        return f"{self.service.name}-{self.number}"

    @property
    def backend(self) -> str:
        return f"{self.ip}:9000"

    @property
    def callers(self) -> str:
        return f"{self.ip}:8080"

    def matches(self, target: str) -> bool:
        """Tell whether a timeline's target names this seat."""
        kind, _, which = target.partition("/")
        if kind == "data_centre":
            return which == self.data_centre
        return kind == self.service.name and which in ("*", str(self.number))

    async def start(self, region: str, store: str) -> None:
        """Start the stand-in, and the node once the stand-in listens."""
        shape = ["--slots", str(self.service.slots), "--connections"]
        shape += [str(self.service.connections), "--service-ms", str(self.service.service_ms)]
        shape += ["--seed", str(self.seed), "--listen", self.backend]
        self.stand_in = self.process("backend", ["standins.backend", *shape])
        await self.stand_in.start()
        await self.stand_in.announced()
        if self.with_node:
            await self.start_node(region, store)

    async def start_node(self, region: str, store: str) -> None:
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(
            NODE_TOML.format(
                service=self.service.name,
                region=region,
                data_centre=self.data_centre,
                callers=self.callers,
                ip=self.ip,
                backend=self.backend,
                store=store,
                name=self.name,
            )
        )
        arguments = ["marjoramtide.daemon.main", "--settings", str(settings)]
        self.node = self.process("node", arguments)
        await self.node.start()

    def process(self, kind: str, arguments: list[str]) -> Process:
        run = len(self.ended)
        return Process(
            f"{kind} of {self.name}", arguments, self.folder / f"{self.name}-{kind}-{run}.log"
        )

    def nodes(self) -> list[Process]:
        """Return every node process there has been at this seat."""
        return [*self.earlier, *([self.node] if self.node else [])]

    async def stop(self) -> None:
        """End the node in good order and then the stand-in, as a planned stop does."""
        if self.node is not None:
            await self.node.end()
        await self.end_stand_in()
        self.forget_node()

    async def kill(self) -> None:
        """End both at once without warning.

        The stand-in breaks its connections just as abruptly, but still prints what it has run.
        """
        node = [self.node.end(signal.SIGKILL)] if self.node is not None else []
        await asyncio.gather(self.end_stand_in(), *node)
        self.forget_node()

    def forget_node(self) -> None:
        if self.node is not None:
            self.earlier.append(self.node)
            self.node = None

    async def end_stand_in(self) -> None:
        if self.stand_in is None:
            return
        stand_in, self.stand_in = self.stand_in, None
        await stand_in.end()
        last_line = stand_in.log.read_text().splitlines()[-1]
        self.ended.append(stand_in_report(self.backend, json.loads(last_line)))
