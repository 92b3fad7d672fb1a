"""Nodes as separate processes beside stand-in backend servers, a store, and clients on loopback."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from http_ import encode, read_body, read_head, read_request
from store import Store

# This file is run from target/review-2, where review/build-2.sh puts it.
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StableWindowMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 58,
    "RecoveryS": 15,
    "ProbesPerS": 60,
}
# The template of the deploy file names this port itself.
METRICS_PORT = 9464
MAX_RUN_S = 112
PORTS = ("inbound", "outbound", "ready", "control", "app", "inner", "store")


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, **fields):
        at = round(time.monotonic() - self.started, 4)
        self.file.write(json.dumps({"at": at, **fields}) + "\n")

    def now(self):
        return time.monotonic() - self.started


class Backend:
    """A sound backend server beside one node, with its heartbeats.

    ``handler`` returns the body of a request's answer after its work; ``write_body`` may be set to
    write the answer in pieces.
    """

    def __init__(self, machine, service, slots, work_s, log):
        self.machine = machine
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.log = log
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.running = 0
        self.free = asyncio.Semaphore(slots)
        self.ran_at = {}
        self.connections = set()
        self.piece_pause_s = 0.0
        self.body_size = 400
        self.queue = 0
        self.max_queue = 2 * slots

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.machine.ports["app"], backlog=512
        )
        self.beats = asyncio.create_task(self.beat())

    def close(self):
        """End like a process whose machine loses power."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def restart(self):
        """Start as a new incarnation at the same address."""
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.sequence = self.running = self.queue = 0
        self.free = asyncio.Semaphore(self.slots)
        await self.listen()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def load(self):
        return ("X-Server-Load", f"{self.running},{self.queue},{self.slots}")

    async def answer(self, request, writer):
        method, target, _ = request.first
        if target == "/health":
            headers = [("X-Instance-Id", self.instance), self.load()]
            writer.write(encode(200, headers))
            await writer.drain()
            return True
        attempt = request.headers.get("x-attempt-id", "")
        named = ("X-Attempt-Id", attempt)
        if request.headers.get("x-expected-instance", self.instance) != self.instance:
            writer.write(encode(421, [("X-Instance-Id", self.instance), named]))
            await writer.drain()
            return True
        if self.queue >= self.max_queue:
            writer.write(encode(503, [("X-Not-Executed", "1"), named]))
            await writer.drain()
            return True
        self.queue += 1
        async with self.free:
            self.queue -= 1
            self.running += 1
            try:
                self.ran_at[attempt] = self.log.now()
                self.log(event="run", at_backend=self.machine.name, id=attempt, target=target)
                await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
                await self.write_answer(attempt, writer)
            finally:
                self.running -= 1
        return True

    async def write_answer(self, attempt, writer):
        headers = [("X-Attempt-Id", attempt), ("X-Response-Seal", f"seal.{attempt}"), self.load()]
        headers.append(("X-Ran-At", self.service))
        body = body_of(attempt, self.body_size)
        answer = encode(200, headers, body)
        if not self.piece_pause_s:
            writer.write(answer)
            await writer.drain()
            return
        first = len(answer) - len(body) + 96 * 1024
        writer.write(answer[:first])
        await writer.drain()
        for start in range(first, len(answer), 32 * 1024):
            await asyncio.sleep(self.piece_pause_s)
            writer.write(answer[start : start + 32 * 1024])
            await writer.drain()

    async def beat(self):
        while True:
            self.sequence += 1
            await self.call("PUT", self.heartbeat("ready"))
            await asyncio.sleep(1.5)

    def heartbeat(self, state):
        return {
            "Address": f"{self.machine.ip}:{self.machine.ports['app']}",
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": self.machine.zone,
                "Slots": self.slots,
            },
            "Status": {"State": state, "SeqNo": self.sequence, "ColdLeftMs": 0},
        }

    async def call(self, method, body):
        """Send a heartbeat; return the status, 0 without an acknowledgement within a second."""
        data = json.dumps(body).encode() if body is not None else b""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.machine.ip, self.machine.ports["control"]
                )
                writer.write(
                    f"{method} /instances/{self.instance} HTTP/1.1\r\nHost: x\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                    "Connection: close\r\n\r\n".encode() + data
                )
                head = await read_head(reader)
                writer.close()
                return int(head.first[1]) if head else 0
        except (OSError, TimeoutError):
            return 0


def body_of(attempt, size):
    """Return the body that answers an attempt, which no other attempt has."""
    unit = f"<{attempt}>".encode()
    return (unit * (size // len(unit) + 1))[:size]


def addresses_of(number):
    """Return the loopback addresses of a machine and of its way to the store."""
    return f"127.77.0.{number + 1}", f"127.78.0.{number + 1}"


class Machine:
    """A machine: its addresses, its node process and its backend server."""

    def __init__(self, number, zone, service, ports, folder):
        self.name = f"sidecar-{zone}-{number}"
        self.number = number
        self.zone = zone
        self.service = service
        self.ports = ports
        self.ip, self.store_ip = addresses_of(number)
        self.settings = os.path.join(folder, f"{self.name}.toml")
        self.output = os.path.join(folder, f"{self.name}.log")
        self.process = None
        self.backend = None

    def fields(self, bounds):
        ports = self.ports
        return {
            "NodeName": self.name,
            "Service": self.service,
            "Region": "fi-south",
            "Zone": self.zone,
            "Ip": self.ip,
            "ListenAddrs.Outbound": f"{self.ip}:{ports['outbound']}",
            "ListenAddrs.Ready": f"{self.ip}:{ports['ready']}",
            "ListenAddrs.Control": f"{self.ip}:{ports['control']}",
            "InnerPortRange.0": str(ports["inner"]),
            "InnerPortRange.1": str(ports["inner"] + 15),
            "AppAddr": f"{self.ip}:{ports['app']}",
            "Platform.Address": f"{self.store_ip}:{ports['store']}",
            "Bounds": ",".join(f'"{name}={value}"' for name, value in bounds.items()),
        }

    def write_settings(self, template, bounds):
        """Fill in the template of the deploy file, as the platform does."""
        fields = self.fields(bounds)
        text = re.sub(r"\{\{#Bounds\}\}.*?\{\{/Bounds\}\}", lambda _: fields["Bounds"], template)
        text = re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", lambda match: fields[match[1]], text)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self, role):
        """Start the node with the command of the deploy file."""
        words = role["run"].split()
        words[words.index("--settings") + 1] = self.settings
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {"PYTHONPATH": os.path.join(ROOT, "target", "deps")} | role.get("env", {})
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number):
        self.process.send_signal(number)

    async def ready(self):
        """Ask for readiness, as the platform does each second."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and head.first[1] == "200"
        except (OSError, TimeoutError):
            return False


class Cluster:
    """All machines of a small deployment, its store, and its record."""

    def __init__(self, record_path, layout, bounds=None):
        """``layout`` holds a (zone, service) pair for each machine."""
        self.log = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = BOUNDS | (bounds or {})
        numbers = range(1, len(layout) + 1)
        base = free_ports([each for number in numbers for each in addresses_of(number)])
        ports = {name: base + offset for offset, name in enumerate(PORTS)}
        ports["inner"] = base + 20
        self.machines = [
            Machine(number, zone, service, ports, self.folder)
            for number, (zone, service) in enumerate(layout, start=1)
        ]
        self.store = Store(self.log)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            self.template = file.read()

    async def start(self, config, *, slots=18, work_s=0.05):
        self.store.put("config", "main", config)
        for machine in self.machines:
            await self.store.listen(machine.name, machine.store_ip, machine.ports["store"])
            machine.write_settings(self.template, self.bounds)
            machine.backend = Backend(machine, machine.service, slots, work_s, self.log)
            await machine.backend.listen()
        for machine in self.machines:
            machine.start(self.role)

    async def wait_ready(self, seconds=25):
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if all(await asyncio.gather(*(machine.ready() for machine in self.machines))):
                return True
            await asyncio.sleep(0.3)
        return False

    async def stop(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.log.file.close()


def run_case(main):
    """Return a case's exit status; 2 if it couldn't run, or not within its time."""
    try:
        return asyncio.run(asyncio.wait_for(run_quietly(main), MAX_RUN_S))
    except Exception as error:
        print(f"couldn't run: {error!r}")
        return 2


async def run_quietly(main):
    """Run a case; connections of stand-ins that end with it are not reported."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await main()


def free_ports(addresses):
    """Return the first of 40 ports that are free, by TCP and UDP, on all of these addresses."""
    for address in addresses:
        check_free(address, METRICS_PORT)
    for base in random.sample(range(20000, 31000, 50), 40):
        try:
            for address in addresses:
                for port in range(base, base + 40):
                    check_free(address, port)
            return base
        except OSError:
            continue
    raise OSError("no free ports")


def check_free(address, port):
    """Raise ``OSError`` if a port of an address is in use."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind == socket.SOCK_STREAM)
            probe.bind((address, port))


class Client:
    """A client on one machine: one kept connection, one request at a time."""

    def __init__(self, machine, log):
        self.machine = machine
        self.log = log
        self.reader = self.writer = None
        self.sent_on_connection = 0

    async def request(
        self, method, path, host, *, deadline_ms=3000, body=b"", gives_up_s=None, key=""
    ):
        """Send a request; return what was seen: a status, its headers and body, or a failure."""
        attempt = f"{random.getrandbits(64):016x}"
        seen = {"id": attempt, "status": 0, "kept": self.writer is not None}
        sent_at = self.log.now()
        try:
            async with asyncio.timeout(gives_up_s or deadline_ms / 1000 + 2):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        self.machine.ip, self.machine.ports["outbound"]
                    )
                extra = f"Authorization: Token {key}\r\n" if key else ""
                length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
                self.writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\n"
                    f"X-Deadline-Ms: {deadline_ms}\r\n{extra}{length}\r\n".encode() + body
                )
                head = await read_head(self.reader)
                if head is None:
                    raise ConnectionError("no answer")
                seen["status"] = int(head.first[1])
                seen["headers"] = head.headers
                seen["body"] = await read_body(self.reader, head.headers, ends_at_close=True)
                seen["ending"] = "complete"
                if "close" in head.headers.get("connection", "").lower():
                    self.close()
        except TimeoutError:
            seen["ending"] = "gave up" if gives_up_s else "no answer in time"
            self.close()
        except (OSError, ConnectionError, asyncio.IncompleteReadError) as error:
            seen["ending"] = f"closed: {type(error).__name__}"
            self.close()
        seen["sent_at"], seen["ended_at"] = sent_at, self.log.now()
        self.log(
            event="answer",
            via=self.machine.name,
            path=path,
            id=attempt,
            sent_at=round(sent_at, 4),
            kept=seen["kept"],
            status=seen["status"],
            ending=seen["ending"],
            ran_at=seen.get("headers", {}).get("x-ran-at", ""),
            bytes=len(seen.get("body", b"")),
        )
        return seen

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


def route(name, host, prefix, service, kind="idempotent", **more):
    """Return a route of the operator's configuration."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 800,
        "Priority": 1,
        "MaxAttempts": 2,
        "Service": service,
    } | more


def configuration(version, routes, services):
    """Return the operator's configuration as it stands in the store."""
    return {
        "Version": f"r{version}",
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": False}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "BaseVersion": f"r{max(0, version - 1)}",
    }
