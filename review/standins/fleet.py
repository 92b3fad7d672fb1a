"""Starts a small deployment on loopback: a store, nodes by the deploy file, backend servers.

Each machine has a loopback address of its own, so that ports are the same on all machines, as
DEPLOY.md says. All processes that were started here are ended by `close`.
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STANDINS = ROOT / "review" / "standins"
DEPS = ROOT / "target" / "deps"
sys.path[:0] = [str(ROOT), str(DEPS)]

from standins.platform._template import render_template  # noqa: E402

# The figures of a small site: further/kuura-mesh.toml.
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250, "MaxStretchMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
    "RetryBudgetSlack": 58, "RecoveryS": 15, "ProbesPerS": 60,
}  # fmt: skip
PORTS = {"Inbound": 8300, "Outbound": 8304, "Ready": 8302, "Control": 8306}
APP_PORT, STORE_PORT, DIRECT_PORT = 8301, 8309, 8401
INNER_PORTS = [7620, 7635]
METRICS_PORT = 9464  # in the template of the deploy file
USED_PORTS = [
    *PORTS.values(), *INNER_PORTS, METRICS_PORT, APP_PORT, STORE_PORT, DIRECT_PORT, DIRECT_PORT + 1,
]  # fmt: skip
MACHINES = (1, 2, 3, 250)  # the last part of each address; the store is the last


class CannotRun(Exception):
    """The case couldn't run."""


def free_network() -> str:
    """Return the first three parts of loopback addresses on which all ports in use are free."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(is_free(f"{network}.{number}", port) for number in MACHINES for port in USED_PORTS):
            return network
    raise CannotRun("no free ports")


def is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Fleet:
    def __init__(self, record: Path, bounds: dict | None = None) -> None:
        # The processes are ended too if this one is asked to end.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.started = time.monotonic()
        self.bounds = BOUNDS | (bounds or {})
        self.record_file = open(record, "w", buffering=1)
        self.processes: list[subprocess.Popen] = []
        self.network = free_network()
        self.store = f"{self.network}.{MACHINES[-1]}:{STORE_PORT}"
        self.nodes: dict[int, subprocess.Popen] = {}
        self.machines: dict[int, dict] = {}
        self.sent = 0

    def record(self, text: str) -> None:
        self.record_file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def ip(self, number: int) -> str:
        return f"{self.network}.{number}"

    def start(self, name: str, command: list, **options: object) -> subprocess.Popen:
        output = open(self.folder / f"{name}.log", "a")
        options.setdefault("stdout", output)
        process = subprocess.Popen(
            command, cwd=ROOT, stderr=output, start_new_session=True, **options
        )
        self.processes.append(process)
        return process

    def python(self, name: str, program: str, *arguments: str) -> subprocess.Popen:
        """Start a stand-in that takes commands on its standard input."""
        environment = {"PATH": os.environ["PATH"], "PYTHONPATH": f"{ROOT}:{DEPS}"}
        return self.start(
            name,
            [sys.executable, str(STANDINS / program), *arguments],
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def command(self, process: subprocess.Popen, line: str) -> None:
        process.stdin.write(line.encode() + b"\n")
        process.stdin.flush()
        process.stdout.readline()

    def start_store(self, configuration: dict) -> None:
        path = self.folder / "configuration.json"
        path.write_text(json.dumps(configuration))
        self.store_process = self.python("store", "store.py", self.store, str(path))

    def start_node(self, number: int, service: str, zone: str) -> None:
        """Start a node with the command and the template of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        ip = self.ip(number)
        fields = {
            "NodeName": f"sidecar-{zone}-{number}",
            "Service": service,
            "Region": "fi-south",
            "Zone": zone,
            "Ip": ip,
            "ListenAddrs": {name: f"{ip}:{port}" for name, port in PORTS.items()},
            "InnerPortRange": INNER_PORTS,
            "AppAddr": f"{ip}:{APP_PORT}",
            "Platform": {"Address": self.store},
            "Bounds": self.bounds,
        }
        path = self.folder / f"node-{number}.toml"
        path.write_text(render_template((ROOT / role["template"]).read_text(), fields))
        words = role["run"].replace("/etc/marjoramtide/boot.conf", str(path)).split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(DEPS),
            "MARJORAMTIDE_NODE_FILE": str(path),
            **role["env"],
        }
        self.machines[number] = {"service": service, "zone": zone}
        self.nodes[number] = self.start(f"node-{number}", words, env=environment)

    def start_backend(
        self,
        number: int,
        instance: str,
        routes: list,
        port: int = APP_PORT,
        slots: int = 18,
        **faults: object,
    ) -> subprocess.Popen:
        ip = self.ip(number)
        options = {
            "listen": f"{ip}:{port}",
            "address": f"{ip}:{APP_PORT}",
            "control": f"{ip}:{PORTS['Control']}",
            "instance": instance,
            "slots": slots,
            "routes": routes,
            "log": str(self.folder / "backends.jsonl"),
            **self.machines[number],
            **faults,
        }
        return self.start(
            f"backend-{instance}",
            [sys.executable, str(STANDINS / "backend.py"), json.dumps(options)],
            env={"PATH": os.environ["PATH"]},
        )

    def backend_log(self) -> list[dict]:
        path = self.folder / "backends.jsonl"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines() if line.endswith("}")]

    async def wait_ready(self, numbers: list[int], timeout: float = 25) -> None:
        """Wait until the readiness of these nodes was 200 for a second."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all([await self.is_ready(number) for number in numbers]):
                await asyncio.sleep(1)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes don't become ready")

    async def is_ready(self, number: int) -> bool:
        try:
            answer = await request(f"{self.ip(number)}:{PORTS['Ready']}", "GET", "/readiness", "x")
        except OSError:
            return False
        return answer["status"] == 200

    async def send(
        self,
        number: int,
        method: str,
        host: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        brief: bool = False,
        added: dict | None = None,
    ) -> dict:
        """Send one request of a client on a machine, on a connection of its own.

        A ``brief`` record is one line for each request.
        """
        self.sent += 1
        attempt = hashlib.sha256(f"{self.folder}{self.sent}".encode()).hexdigest()[:16]
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms)} | (added or {})
        attempt = headers["X-Attempt-Id"]
        if not brief:
            self.record(f"client   sends {attempt} {method} {path} to node {number}")
        try:
            answer = await asyncio.wait_for(
                request(
                    f"{self.ip(number)}:{PORTS['Outbound']}", method, path, host, headers, body
                ),
                deadline_ms / 1000,
            )
        except (asyncio.TimeoutError, TimeoutError):
            answer = {"status": 0, "ended": "deadline", "body": b"", "headers": {}}
        except OSError as error:
            answer = {"status": 0, "ended": repr(error), "body": b"", "headers": {}}
        answer["attempt"] = attempt
        if brief:
            self.record(f"{attempt} {method} {path} to node {number}: {answer['status']}")
            return answer
        self.record(
            f"client   got   {attempt} status {answer['status']}, {len(answer['body'])} bytes of "
            f"body, end of the answer: {answer['ended']}, headers {answer['headers']}"
        )
        return answer

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def request(
    address: str, method: str, path: str, host: str, headers: dict | None = None, body: bytes = b""
) -> dict:
    """Send a request; `ended` tells how the answer ended: `complete` only by its own framing."""
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    answer = {"status": 0, "headers": {}, "body": b"", "ended": "closed"}
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer["status"] = int(head[0].split()[1])
        answer["headers"] = {
            key.strip().lower(): value.strip()
            for key, _, value in (line.partition(":") for line in head[1:] if line)
        }
        if answer["headers"].get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer["body"] += await reader.readexactly(size)
                await reader.readuntil(b"\r\n")
            await reader.readuntil(b"\r\n")
        else:
            answer["body"] = await reader.readexactly(int(answer["headers"]["content-length"]))
        answer["ended"] = "complete"
    except asyncio.IncompleteReadError as error:
        answer["body"] += error.partial
    except ConnectionError as error:
        answer["ended"] = f"broken off: {type(error).__name__}"
    finally:
        writer.close()
    return answer


def service(name: str) -> dict:
    return {
        "Name": name, "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": False,
    }  # fmt: skip


def configuration(version: int, routes: list[dict]) -> dict:
    names = sorted({each["Service"] for each in routes})
    return {
        "Version": f"r{version}",
        "Routes": routes,
        "Services": [service(name) for name in names],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "BaseVersion": f"r{version - 1}",
    }  # fmt: skip


def route(
    name: str, host: str, prefix: str, kind: str, to: str, timeout_ms: int, attempts: int = 2
) -> dict:
    return {
        "Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
        "TargetLatencyMs": timeout_ms // 4, "Priority": 1, "Service": to, "MaxAttempts": attempts,
    }  # fmt: skip
