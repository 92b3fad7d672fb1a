"""A backend server of a soak, as a process: ``python -m soak._server JSON``.

The JSON object holds the fields of ``ServerOptions``. What the server runs is appended to a record
that outlives it. SIGTERM makes it drain, leave and exit.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import time
from typing import Any

import attrs
import cattrs

from soak._answers import Answer, executed, rejection
from soak._fault import Fault

HEARTBEAT_S = 1.5
DRAIN_S = 2.2
HEALTH_PATH = "/health"
LONG_BODY_BYTES = 64 * 1024
SLOW_FACTOR = 8.0
FORGET_AFTER_S = 0.3
ENDLESS_CHUNK = b"\x00garbage without end " * 200


@attrs.frozen(slots=True)
class ServerOptions:
    """Where a server listens and registers, what it does, and its faults since ``epoch``.

    ``epoch`` is the start of the load in Unix seconds. ``resets_when_full`` is whether a full
    server resets connections in place of rejecting requests.
    """

    listen: str
    control: str
    service: str
    instance: str
    slots: int
    work_ms: float
    epoch: float
    seed: int
    resets_when_full: bool
    record: str
    faults: tuple[Fault, ...] = ()


class Connection:
    """One accepted connection; ``late_copy`` is sent before its next answer."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.late_copy = b""
        self.used_at = time.monotonic()

    def reset(self) -> None:
        """Close with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class SoakServer:
    """Runs requests in slots, and causes the faults that are in force."""

    def __init__(self, options: ServerOptions) -> None:
        self.options = options
        self.rng = random.Random(f"{options.seed} {options.instance}")
        self.slots = asyncio.Semaphore(options.slots)
        self.running = self.waiting = self.sequence = 0
        self.state = "ready"
        self.record_file = os.open(options.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def record(self, event: str, attempt: str = "", detail: str = "") -> None:
        line = [time.time(), self.options.instance, event, attempt, detail]
        os.write(self.record_file, json.dumps(line).encode() + b"\n")

    def draw(self, kind: str) -> bool:
        """Return whether this request has a fault."""
        elapsed_s = time.time() - self.options.epoch
        return any(
            fault.kind == kind and fault.is_in_force(elapsed_s) and self.rng.random() < fault.share
            for fault in self.options.faults
        )

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
        ):
            while await self.exchange(reader, connection):
                connection.used_at = time.monotonic()
        writer.close()

    async def exchange(self, reader: asyncio.StreamReader, connection: Connection) -> bool:
        """Serve one request; return whether the connection may carry another one."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        rested_s = time.monotonic() - connection.used_at
        if rested_s > FORGET_AFTER_S and self.draw("forget"):
            return False
        fields = (line.partition(":") for line in head[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        attempt = headers.get("x-attempt-id", "")
        if head[0].split(" ")[1] == HEALTH_PATH:
            return await self.answer(connection, self.health(), "")
        expected = headers.get("x-expected-instance", self.options.instance)
        if expected != self.options.instance:
            await read_body(reader, headers)
            return await self.answer(connection, Answer(421), "")
        if int(headers.get("content-length", 0)) > LONG_BODY_BYTES and self.draw("early"):
            self.record("early rejection", attempt)
            await self.answer(connection, rejection(attempt), attempt)
            await read_body(reader, headers)
            return True
        await read_body(reader, headers)
        return await self.admit(connection, attempt, float(headers.get("x-deadline-ms", 1000)))

    def health(self) -> Answer:
        leaves = self.state != "ready" or self.draw("ill")
        load = f"{self.running},{self.waiting},{self.options.slots},100"
        headers = (("X-Instance-Id", self.options.instance), ("X-Server-Load", load))
        return Answer(503 if leaves else 200, headers)

    async def admit(self, connection: Connection, attempt: str, left_ms: float) -> bool:
        """Reject a request, or run it in a slot."""
        if self.draw("hang"):
            self.record("hang", attempt)
            await connection.writer.wait_closed()
            return False
        is_full = self.waiting >= 2 * self.options.slots
        if self.draw("full") or (is_full and self.options.resets_when_full):
            self.record("reset as full", attempt)
            connection.reset()
            return False
        if is_full or self.draw("shed"):
            self.record("rejected", attempt)
            return await self.answer(connection, rejection(attempt), attempt)
        self.waiting += 1
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self.slots.acquire()
        except TimeoutError:
            self.record("rejected", attempt, "deadline")
            return await self.answer(connection, rejection(attempt), attempt)
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self.run(connection, attempt)
        finally:
            self.running -= 1
            self.slots.release()

    async def run(self, connection: Connection, attempt: str) -> bool:
        self.record("run", attempt)
        work_ms = self.options.work_ms * self.rng.uniform(0.6, 1.6)
        await asyncio.sleep(work_ms / 1000 * (SLOW_FACTOR if self.draw("slow") else 1.0))
        for fault, handle in (
            ("lost", self.lose),
            ("cut", self.cut),
            ("garbage", self.send_garbage),
            ("endless", self.send_endlessly),
        ):
            if self.draw(fault):
                self.record(fault, attempt)
                return await handle(connection, attempt)
        status = 200
        if self.draw("unstated"):
            status = self.rng.choice((408, 429, 503))
        elif self.draw("errors"):
            status = 500
        self.record("answered", attempt, str(status))
        framed = not self.draw("unframed")
        await self.answer(connection, executed(attempt, status, framed=framed), attempt)
        return framed

    async def answer(self, connection: Connection, answer: Answer, attempt: str) -> bool:
        """Send an answer, after the copy of an earlier one if that is due."""
        if connection.late_copy:
            self.record("late second answer", attempt)
        data = answer.encode()
        connection.writer.write(connection.late_copy + data)
        connection.late_copy = data if answer.framed and self.draw("late") else b""
        await connection.writer.drain()
        return True

    async def lose(self, connection: Connection, attempt: str) -> bool:
        match self.rng.choice(("reset", "close", "silence")):
            case "reset":
                connection.reset()
            case "silence":
                await connection.writer.wait_closed()
        return False

    async def cut(self, connection: Connection, attempt: str) -> bool:
        data = executed(attempt).encode()
        connection.writer.write(data[: self.rng.randrange(1, len(data))])
        await connection.writer.drain()
        return False

    async def send_garbage(self, connection: Connection, attempt: str) -> bool:
        data = self.rng.randbytes(self.rng.choice((20, 3000)))
        is_after = self.rng.random() < 0.5
        connection.writer.write((executed(attempt).encode() if is_after else b"") + data)
        await connection.writer.drain()
        return is_after

    async def send_endlessly(self, connection: Connection, attempt: str) -> bool:
        begins = self.rng.choice(
            (
                b"",
                b"HTTP/1.1 200 OK\r\nX-Rest: ",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            )
        )
        connection.writer.write(begins)
        while not connection.writer.transport.is_closing():
            connection.writer.write(ENDLESS_CHUNK)
            await connection.writer.drain()
            await asyncio.sleep(0.001)
        return False

    async def send_heartbeats(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
                async with asyncio.timeout(1.0):
                    await self.register("PUT", self.state)
            await asyncio.sleep(HEARTBEAT_S)

    async def register(self, method: str, state: str) -> None:
        """Send a heartbeat or a departure to the node."""
        self.sequence += 1
        info = {"Service": self.options.service, "Version": "v1", "Zone": "z"}
        body = {
            "Address": self.options.listen,
            "Info": info | {"Slots": self.options.slots},
            "Status": {"State": state, "SeqNo": self.sequence, "ColdLeftMs": 0},
        }
        data = json.dumps(body).encode() if method == "PUT" else b""
        host, _, port = self.options.control.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"{method} /instances/{self.options.instance} HTTP/1.1\r\nHost: {host}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data
        )
        await reader.readline()
        writer.close()

    async def drain(self) -> None:
        """Report that the server drains, serve on for a while, leave and exit."""
        self.state = "draining"
        for method, state in (("PUT", "draining"), ("DELETE", "")):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    await self.register(method, state)
            await asyncio.sleep(DRAIN_S if method == "PUT" else 0.1)
        os._exit(0)

    async def start(self) -> None:
        host, _, port = self.options.listen.rpartition(":")
        draining: list[asyncio.Task[None]] = []
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, lambda: draining.append(asyncio.create_task(self.drain()))
        )
        await asyncio.start_server(self.serve, host, int(port), backlog=256)
        self.record("listens")
        await self.send_heartbeats()


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> None:
    """Read the body of a request to its end."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        await reader.readexactly(int(headers.get("content-length", 0)))
        return
    while size := int((await reader.readline()).split(b";")[0], 16):
        await reader.readexactly(size + len(b"\r\n"))
    await reader.readline()


def read_options(text: str) -> ServerOptions:
    """Return the options in a JSON text."""
    fields: dict[str, Any] = json.loads(text)
    return cattrs.structure(fields, ServerOptions)


if __name__ == "__main__":
    asyncio.run(SoakServer(read_options(sys.argv[1])).start())
