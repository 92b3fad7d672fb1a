"""A backend server stand-in and its node, as processes."""

from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import tomlkit

from standins.free_port import free_port
from standins.mesh._plan import NodePlan
from standins.mesh._process import ManagedProcess, start_process

KEY = "a key for meshes on loopback only"


@attrs.define(slots=True, eq=False)
class MeshNode:
    """Addresses and processes of a node and its backend server."""

    name: str
    plan: NodePlan
    callers: str
    peers: str
    gossip: str
    operators: str
    backend: str
    folder: Path
    store: str
    extra_settings: dict[str, Any] = attrs.Factory(dict)
    process: ManagedProcess | None = None
    server: ManagedProcess | None = None

    @property
    def settings_file(self) -> Path:
        return self.folder / f"{self.name}.toml"

    @property
    def journal_file(self) -> Path:
        return self.folder / f"{self.name}.journal"

    def executions(self) -> tuple[Counter[str], Counter[str]]:
        """Return executions by request id and by key, also of backend servers that were killed."""
        rows = self.journal()
        requests = Counter(request for _, request, _ in rows if request)
        return requests, Counter(key for _, _, key in rows if key)

    def journal(self) -> list[tuple[float, str, str]]:
        """Return the time (seconds since the epoch), request id and key of each execution."""
        text = self.journal_file.read_text() if self.journal_file.exists() else ""
        rows = [line.split("\t") for line in text.splitlines()]
        return [(float(at), request, key) for at, request, key in rows]

    def write_settings(self) -> None:
        """Write the node's own settings file."""
        values = {
            "name": self.name,
            "service": self.plan.service,
            "region": "viti-west",
            "data_centre": self.plan.data_centre,
            "callers": self.callers,
            "peers": self.peers,
            "gossip": self.gossip,
            "operators": self.operators,
            "backend": self.backend,
            "store": self.store,
            "key": KEY,
            **self.extra_settings,
        }
        self.settings_file.write_text(tomlkit.dumps(values))

    async def start_server(self) -> None:
        """Start the backend server stand-in."""
        plan = self.plan
        arguments = ["standins.backend", "--listen", self.backend, "--slots", str(plan.slots)]
        arguments += ["--service-ms", str(plan.service_ms), "--seed", str(plan.seed)]
        arguments += ["--journal", str(self.journal_file)]
        arguments += ["--connections", str(plan.connections), "--deadly", plan.deadly]
        arguments += ["--deadly-lingers-ms", str(plan.deadly_lingers_ms)]
        arguments += ["--deadly-freezes"] if plan.deadly_freezes else []
        self.server = await start_process(f"{self.name}-backend", arguments, self.folder)

    async def start_node(self) -> None:
        """Start the node."""
        self.write_settings()
        arguments = ["marjoramtide.daemon.main", "--settings", str(self.settings_file)]
        self.process = await start_process(self.name, arguments, self.folder)

    async def kill(self) -> None:
        """Kill the backend server and the node, as the loss of their instance does."""
        for process in (self.process, self.server):
            if process is not None:
                await process.kill()

    async def set_faults(self, **faults: Any) -> None:
        """Inject faults into the backend server stand-in."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{self.backend}/_admin/faults", json=faults) as response,
        ):
            response.raise_for_status()

    async def server_json(self, path: str) -> Any:
        """Read an admin endpoint of the stand-in, such as ``executions`` or ``stats``."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.backend}/_admin/{path}") as response,
        ):
            return await response.json(content_type=None)


def make_mesh_node(name: str, plan: NodePlan, host: str, store: str, folder: Path) -> MeshNode:
    """Return a node and backend server with free addresses, neither of them started."""
    addresses = [f"{host}:{free_port(host)}" for _ in range(5)]
    return MeshNode(name, plan, *addresses, folder=folder, store=store)
