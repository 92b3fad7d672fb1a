"""The processes of a soak: nodes and backend servers, and a store in this process."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, Self

import aiohttp
import attrs
import tomlkit
from aiohttp import web

from soak._callers import HOST_NAME, MOVED
from soak._fault import CROWD_FAULTS, LINK_FAULTS, STORE_FAULTS, Fault
from soak._judge_changes import HostPlace
from soak._link_proxy import LinkProxy
from soak._plan import SoakPlan
from soak._records import ServerRecord
from soak._server import ServerOptions
from soak._timeline import Evacuation, RouteMove, Timeline
from standins.crowd import Crowd, Target, make_attack
from standins.free_port import free_port, loopback_host
from standins.platform import FaultKind, PlatformStoreServer, StoreFault

PROJECT_ROOT = Path(__file__).resolve().parents[1]
PORTS = ("callers", "peers", "gossip", "operators", "readiness", "registration")
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 8.0
SERVER_START_S = 0.4
CROWD_CLIENTS = 200
# Until the load has a start, servers are told one so late that none of their faults is in force.
NO_LOAD_S = 1e6
WORK_MS = {"pay": 60.0, "up": 90.0, "board": 40.0}
# Path prefix, service, kind and the number of backend servers that one attempt may reach.
ROUTES = (
    ("/pay/", "pay", "non_idempotent", 2),
    ("/pay3/", "pay", "non_idempotent", 3),
    ("/up/", "up", "upload", 2),
    ("/board/", "board", "idempotent", 2),
)
MOVED_TO = ("board", "up")


@attrs.define(slots=True, eq=False)
class Host:
    """A node and the backend server beside it; ``starts`` counts the starts of the server."""

    number: int
    service: str
    settings: dict[str, Any]
    starts: int = 0
    node: asyncio.subprocess.Process | None = None
    server: asyncio.subprocess.Process | None = None


class SoakFleet:
    """Nodes of one source tree beside servers, which are all ended at the end of the block.

    ``source`` is the checkout whose ``src`` the nodes run; the stand-ins are always this one's.
    ``epoch`` is the start of the load in Unix seconds.
    """

    def __init__(self, plan: SoakPlan, folder: Path, source: Path = PROJECT_ROOT) -> None:
        self.plan = plan
        self.folder = folder
        self.source = source
        self.host = loopback_host()
        self.epoch = time.time() + NO_LOAD_S
        self.store = PlatformStoreServer()
        self.runner = web.AppRunner(self.store.app(), access_log=None, shutdown_timeout=0.2)
        self.hosts: list[Host] = []
        self.proxies: list[LinkProxy] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.version = 4
        self.moved_to = 0
        self.timeline = Timeline()

    async def __aenter__(self) -> Self:
        await self.runner.setup()
        self.configure(1500)
        for number, service in enumerate(self.plan.services):
            self.hosts.append(self.make_host(number, service, await self.open_store()))
        if any(fault.kind in LINK_FAULTS for fault in self.plan.faults):
            self.proxies = [LinkProxy(host.settings["peers"]) for host in self.hosts]
            await asyncio.gather(*(proxy.start(self.host) for proxy in self.proxies))
        for host in self.hosts:
            await self.start_node(host)
            await self.start_server(host)
        await self.wait_ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            send_signal(process, signal.SIGKILL)
        await asyncio.gather(*(process.wait() for process in self.processes))
        await asyncio.gather(*(proxy.close() for proxy in self.proxies))
        self.store.state.compact_history()
        await self.runner.cleanup()

    async def open_store(self) -> str:
        """Open another address of the store, by which it can tell one node from the others."""
        await web.TCPSite(self.runner, self.host, 0).start()
        return "{}:{}".format(*self.runner.addresses[-1][:2])

    def make_host(self, number: int, service: str, store: str) -> Host:
        addresses = {port: f"{self.host}:{free_port(self.host)}" for port in PORTS}
        settings = addresses | {
            "name": f"node-{number}",
            "service": service,
            "region": "r",
            "data_centre": self.data_centre(number),
            "backend": f"{self.host}:{free_port(self.host)}",
            "store": f"http://{store}",
            "key": "a key for soaks on loopback only",
            "interface": "platform",
            "base_tree": "deploy/base-tree.toml",
            "bounds": ["GraceS=6", "RetryBudgetRatio=0.2", "RetryBudgetSlack=64"],
        }
        if self.plan.judges_changes:
            settings["bounds"] += ["EvacuationMs=5000"]
        (self.folder / f"node-{number}.toml").write_text(tomlkit.dumps(settings))
        return Host(number, service, settings)

    def data_centre(self, number: int) -> str:
        """Return the data centre of a host."""
        return f"z{number % self.plan.data_centres}"

    def places(self) -> list[HostPlace]:
        """Return what runs where, by the number of the host."""
        services = self.plan.services
        return [
            HostPlace(service, self.data_centre(number)) for number, service in enumerate(services)
        ]

    def configure(self, timeout_ms: int) -> None:
        """Write the next version of the configuration, as operators do."""
        self.version += 1
        moved = (MOVED.prefix, MOVED_TO[self.moved_to], "idempotent", 2)
        routes = [
            {
                "Name": prefix.strip("/"),
                "Host": HOST_NAME,
                "PathPrefix": prefix,
                "Kind": kind,
                "TimeoutMs": timeout_ms * (2 if service == "up" else 1),
                "TargetLatencyMs": 400,
                "Priority": 1,
                "MaxAttempts": attempts,
                "Service": service,
            }
            for prefix, service, kind, attempts in (*ROUTES, moved)
        ]
        services = [
            {"Name": name, "HealthPath": "/health", "MaxConns": 220} for name in sorted(WORK_MS)
        ]
        specification = {
            "Version": f"r{self.version}",
            "Routes": routes,
            "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 22},
        }
        self.store.state.put("config", "main", Specification=specification)
        self.timeline.moves.append(RouteMove(time.time(), MOVED_TO[self.moved_to]))

    async def spawn(
        self, name: str, arguments: list[str], root: Path
    ) -> asyncio.subprocess.Process:
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                cwd=root,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": f"{root / 'src'}:{PROJECT_ROOT}"},
            )
        self.processes.append(process)
        return process

    async def start_node(self, host: Host) -> None:
        settings = str(self.folder / f"node-{host.number}.toml")
        arguments = ["marjoramtide.daemon.main", "--settings", settings]
        if self.proxies:
            proxies = json.dumps({proxy.target: proxy.listen for proxy in self.proxies})
            arguments[:1] = ["soak._node", proxies]
        host.node = await self.spawn(f"node-{host.number}", arguments, self.source)

    async def start_server(self, host: Host) -> None:
        """Start the next incarnation of a host's server, at the same address."""
        host.starts += 1
        options = ServerOptions(
            listen=host.settings["backend"],
            control=host.settings["registration"],
            service=host.service,
            instance=f"i-{host.number}-{host.starts}",
            slots=self.plan.slots,
            work_ms=WORK_MS[host.service],
            epoch=self.epoch,
            seed=self.plan.seed,
            resets_when_full=self.plan.resets_when_full,
            record=str(self.folder / "servers.jsonl"),
            faults=tuple(each for each in self.plan.faults if each.target == host.number),
        )
        text = json.dumps(attrs.asdict(options))
        host.server = await self.spawn(
            f"server-{host.number}", ["soak._server", text], PROJECT_ROOT
        )

    async def restart_servers(self) -> None:
        """Start all servers anew, so that they know when the load begins."""
        for host in self.hosts:
            await self.end(host.server, signal.SIGKILL)
            await self.start_server(host)
        await asyncio.sleep(SERVER_START_S)

    async def end(self, process: asyncio.subprocess.Process | None, number: signal.Signals) -> None:
        """End a process by a signal, or kill it if it does not end in time."""
        assert process is not None
        send_signal(process, number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            send_signal(process, signal.SIGKILL)
            await process.wait()

    async def pause(self, process: asyncio.subprocess.Process | None, for_s: float) -> None:
        assert process is not None
        send_signal(process, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        send_signal(process, signal.SIGCONT)

    async def inject(self, fault: Fault) -> None:
        """Bring a fault from outside about, and undo it, and record when it was in force."""
        match fault.kind:
            case "move":
                self.moved_to = 1 - self.moved_to
                self.configure(1500)
            case "evacuate":
                await self.evacuate(fault)
            case kind if kind in STORE_FAULTS:
                await self.leave_readers_without_answers(fault)
            case _:
                host = None if fault.kind == "store" else fault.target
                disturbance = self.timeline.begin(time.time(), host)
                await self.disturb(fault)
                disturbance.ended_at = time.time()

    async def evacuate(self, fault: Fault) -> None:
        """Evacuate one data centre after the other, and take it back after the fault's time."""
        name = self.data_centre(len(self.timeline.evacuations))
        evacuation = Evacuation(name, time.time())
        self.store.state.put("evacuations", name, Specification={})
        self.timeline.evacuations.append(evacuation)
        await asyncio.sleep(fault.for_s)
        evacuation.ended_at = time.time()
        self.store.state.remove("evacuations", name)

    async def leave_readers_without_answers(self, fault: Fault) -> None:
        """Disturb the store's answers to the nodes that read it, then to those that do by then."""
        calls, _, how = fault.kind.partition("-")
        store_fault = StoreFault(FaultKind(how), watches_only=calls == "watch")
        disturbance = self.timeline.begin(time.time(), is_partial=True)
        readers: set[str] = set()
        for _ in range(2):
            successors = self.store.watching_addresses() | {self.store.last_read}
            for address in readers:
                self.store.set_fault(address, None)
            readers = successors
            for address in readers:
                self.store.set_fault(address, store_fault)
            await asyncio.sleep(fault.for_s)
        for address in readers:
            self.store.set_fault(address, None)
        disturbance.ended_at = time.time()

    async def disturb(self, fault: Fault) -> None:
        """Bring a fault of one process, link or the whole store about, and undo it."""
        host = self.hosts[fault.target]
        match fault.kind:
            case kind if kind in CROWD_FAULTS:
                await self.send_crowd(host, fault)
            case kind if kind in LINK_FAULTS:
                how = kind.removeprefix("link-")
                await self.proxies[fault.target].disturb(how, fault.for_s)
            case "server-kill" | "server-drain":
                number = signal.SIGKILL if fault.kind == "server-kill" else signal.SIGTERM
                await self.end(host.server, number)
                await asyncio.sleep(fault.for_s)
                await self.start_server(host)
            case "server-pause":
                await self.pause(host.server, fault.for_s)
            case "node-kill" | "node-stop":
                number = signal.SIGKILL if fault.kind == "node-kill" else signal.SIGTERM
                await self.end(host.node, number)
                await asyncio.sleep(fault.for_s / 3)
                await self.start_node(host)
            case "node-pause":
                await self.pause(host.node, fault.for_s)
            case "store":
                self.store.mode = "reset"
                await asyncio.sleep(fault.for_s)
                self.store.mode = "up"
            case "settings":
                self.configure(1200 + self.version * 50)
                for each in self.hosts:
                    assert each.node is not None
                    send_signal(each.node, signal.SIGHUP)

    async def send_crowd(self, host: Host, fault: Fault) -> None:
        """Let clients outside the limits send to a node for the time of the fault."""
        target = Target(HOST_NAME, "/board/1", "X-Attempt-Id: crowd\r\nX-Deadline-Ms: 1000\r\n")
        attack = make_attack(CROWD_FAULTS[fault.kind], target)
        crowd = Crowd(host.settings["callers"], attack, CROWD_CLIENTS)
        await crowd.send(fault.for_s)
        crowd.close()

    def ended_nodes(self) -> list[str]:
        """Return the nodes that have ended by themselves."""
        return [
            host.settings["name"]
            for host in self.hosts
            if host.node is not None and host.node.returncode is not None
        ]

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready for callers."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for host in self.hosts:
                while not await is_ready(session, host.settings["readiness"]):
                    if time.monotonic() > ends_at:
                        raise TimeoutError(f"node {host.number} is not ready")
                    await asyncio.sleep(0.05)

    def server_records(self) -> list[ServerRecord]:
        """Return what all servers have recorded, without lines that were cut off by a kill."""
        path = self.folder / "servers.jsonl"
        lines = path.read_text().splitlines() if path.exists() else []
        return [ServerRecord(*json.loads(line)) for line in lines if line.endswith("]")]


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process that this soak has started, unless it has ended."""
    if process.returncode is None:
        process.send_signal(number)


async def is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    """Return whether a node reports readiness."""
    try:
        async with session.get(f"http://{address}/readiness") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
