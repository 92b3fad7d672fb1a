"""The stand-in itself: what it does with a request."""

import asyncio
import json
import os
import random
import time
from collections import deque
from collections.abc import Callable

import attrs
import xxhash

from standins.backend._answer import Answer, json_answer, refusal
from standins.backend._connection import Connection
from standins.backend._faults import Faults
from standins.backend._ledger import Ledger
from standins.backend._request import Request
from standins.backend._service_time import ServiceTime
from standins.backend._slots import Slots
from standins.expected_body import expected_body

DEFAULT_BODY_BYTES = 256
CRASHED = 70


def end_process() -> None:
    """End this process where it stands, as a fault in a server's own code does."""
    os._exit(CRASHED)


class BackendServer:
    """A backend server with slots, endpoints for health and load, and faults on command."""

    def __init__(
        self, *, name: str, slots: int, connections: int, service_ms: float, seed: int
    ) -> None:
        self.name = name
        self.slots = Slots(slots)
        self.connection_limit = connections
        self.service_time = ServiceTime(service_ms, seed)
        self.random = random.Random(seed + 1)
        self.faults = Faults()
        self.ledger = Ledger()
        self.journal: int | None = None
        self.connections: set[Connection] = set()
        self.answering: set[asyncio.Task[None]] = set()
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.cold_since = self.now()
        self.drain_since = 0.0
        self.snapshots: deque[dict[str, object]] = deque(maxlen=2)
        self.sampler: asyncio.Task[None] | None = None
        self.crash: Callable[[], None] = end_process
        self.ending: asyncio.Task[None] | None = None
        self.listener: asyncio.Server | None = None

    @staticmethod
    def now() -> float:
        return time.monotonic()

    def happens(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    @property
    def state(self) -> str:
        return "draining" if self.faults.drain else "ready"

    async def answer(self, request: Request, connection: Connection) -> Answer | None:
        """Return the answer; ``None`` closes the connection without one."""
        if request.path.startswith("/_admin/"):
            return self.administer(request)
        await self.thawed.wait()
        answer = await self.answer_caller(request, connection)
        if answer is not None:
            answer.headers |= self.statement_headers()
        return answer

    def statement_headers(self) -> dict[str, str]:
        """Return what it says that it takes."""
        rate = {"Backend-Rate-Limit": self.faults.rate_limit} if self.faults.rate_limit else {}
        return rate | ({"Backend-Leaving": "1"} if self.faults.leaving else {})

    async def answer_caller(self, request: Request, connection: Connection) -> Answer | None:
        """Return the answer to anyone but those who drive the stand-in."""
        if request.path == "/health":
            self.ledger.health_reads += 1
            return json_answer({"state": self.state})
        if request.path == "/load":
            self.ledger.load_reads += 1
            return json_answer(self.claimed_load())
        answer = await self.serve(request, connection)
        await self.thawed.wait()
        return answer

    async def serve(self, request: Request, connection: Connection) -> Answer | None:
        """Refuse, or run the request in a slot."""
        if self.happens(self.faults.fail_fast):
            return Answer(500, {"Content-Type": "text/plain"}, b"failed")
        reason = self.reason_to_refuse()
        if not reason and not await self.slots.acquire(request.timeout_s):
            reason = "deadline"
        if reason:
            self.ledger.refusals += 1
            return refusal(reason)
        try:
            await self.run(request, connection)
        finally:
            self.slots.release()
        if self.happens(self.faults.close_before_answer):
            return None
        if self.happens(self.faults.late):
            await asyncio.sleep(self.faults.late_ms / 1000)
        return self.outcome(request)

    def reason_to_refuse(self) -> str:
        if self.happens(self.faults.shed):
            return "shed"
        grace_s = self.faults.drain_grace_ms / 1000
        if self.faults.drain and self.now() - self.drain_since >= grace_s:
            return "draining"
        return ""

    async def run(self, request: Request, connection: Connection) -> None:
        """Execute: from here on the request counts as run, whatever becomes of its caller."""
        connection.begun_unsafe = not request.idempotent
        if self.faults.drain:
            self.ledger.last_run_after_drain_s = self.now() - self.drain_since
        key = request.headers.get("idempotency-key", "").strip('"')
        for _ in range(2 if self.happens(self.faults.run_twice) else 1):
            self.ledger.began(request.request_id, key)
            self.write_journal(request.request_id, key)
        self.ledger.peak = max(self.ledger.peak, self.slots.in_use)
        began = self.now()
        try:
            if request.path == self.faults.deadly:
                await asyncio.sleep(self.faults.deadly_ms / 1000)
                if self.faults.deadly_freezes:
                    self.set_faults(attrs.evolve(self.faults, freeze=True))
                    await self.thawed.wait()
                else:
                    # A task of its own: this one ends with its connection.
                    self.ending = asyncio.create_task(self.end_by_request())
            own_ms = request.number("ms")
            await asyncio.sleep(
                self.service_time.draw_s(self.faults, began, self.cold_since, own_ms)
            )
        finally:
            self.ledger.busy_s += self.now() - began

    async def end_by_request(self) -> None:
        """End by a request: all connections break, and new ones are taken for some time."""
        if self.faults.deadly_lingers_ms:
            for connection in list(self.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            self.thawed.clear()
            await asyncio.sleep(self.faults.deadly_lingers_ms / 1000)
        self.crash()

    def write_journal(self, request_id: str, key: str) -> None:
        """Write the execution down at once, where it outlasts this process."""
        if self.journal is not None:
            os.write(self.journal, f"{time.time():.3f}\t{request_id}\t{key}\n".encode())

    def outcome(self, request: Request) -> Answer:
        """Return the answer to a request that was run."""
        if self.happens(self.faults.false_not_run):
            return refusal("a lie")
        size = request.number("bytes")
        wanted = DEFAULT_BODY_BYTES if size is None else int(size)
        wrong = self.happens(self.faults.wrong_body)
        body = expected_body("another" if wrong else request.request_id, wanted)
        headers = {
            "Content-Type": "application/octet-stream",
            "X-Echo-Id": request.request_id,
            "X-Body-Digest": xxhash.xxh64(request.body).hexdigest(),
            "X-Backend": self.name,
        }
        cut = wanted // 2 if self.happens(self.faults.truncate) else None
        return Answer(200, headers, body, cut, chunked=request.path.startswith("/chunked"))

    def load(self) -> dict[str, object]:
        """Return the true load at this moment."""
        return {
            "in_use": self.slots.in_use,
            "slots": self.slots.total,
            "queued": self.slots.queued,
            "state": self.state,
        }

    def claimed_load(self) -> dict[str, object]:
        """Return what the load endpoint says: it may lag or mislead."""
        said = self.snapshots[0] if self.snapshots else self.load()
        return {**said, "in_use": 0, "queued": 0} if self.faults.mislead else said

    async def sample(self, lag_s: float) -> None:
        """Keep two snapshots; the older one is between half and the whole lag old."""
        while True:
            self.snapshots.append(self.load())
            await asyncio.sleep(lag_s / 2)

    def administer(self, request: Request) -> Answer:
        """Answer the endpoints by which tests and the replay drive the stand-in."""
        match request.method, request.path:
            case "GET", "/_admin/executions":
                return json_answer(self.report())
            case "GET", "/_admin/stats":
                return json_answer(self.stats())
            case "GET", "/_admin/faults":
                return json_answer(attrs.asdict(self.faults))
            case "POST", "/_admin/faults":
                return self.change_faults(request.body)
            case "POST", "/_admin/reset":
                self.ledger = Ledger()
                self.set_faults(Faults())
                return json_answer({})
        return json_answer({"error": f"no {request.method} {request.path} here"}, 404)

    def report(self) -> dict[str, object]:
        """Return executions by request id and by key, with the statistics."""
        counts = {"requests": self.ledger.requests, "keys": self.ledger.keys}
        return {**counts, "stats": self.stats()}

    def stats(self) -> dict[str, object]:
        counts = attrs.asdict(
            self.ledger, filter=lambda field, _: field.name not in ("requests", "keys")
        )
        return {**self.load(), **counts, "connections": len(self.connections)}

    def change_faults(self, body: bytes) -> Answer:
        try:
            changes = json.loads(body or b"{}")
            self.set_faults(self.faults.updated(changes))
        except (ValueError, TypeError) as error:
            return json_answer({"error": str(error)}, 400)
        return json_answer(attrs.asdict(self.faults))

    def set_faults(self, faults: Faults) -> None:
        """Put ``faults`` into force; cold starts and drains count from now."""
        before, self.faults = self.faults, faults
        if faults.cold_start_s != before.cold_start_s:
            self.cold_since = self.now()
        if faults.drain and not before.drain:
            self.drain_since = self.now()
        if faults.freeze:
            self.thawed.clear()
        else:
            self.thawed.set()
        if faults.load_lag_ms != before.load_lag_ms:
            self.restart_sampler(faults.load_lag_ms / 1000)

    def restart_sampler(self, lag_s: float) -> None:
        if self.sampler is not None:
            self.sampler.cancel()
        self.sampler = asyncio.create_task(self.sample(lag_s)) if lag_s > 0 else None
        self.snapshots.clear()

    async def close(self) -> None:
        """Stop listening, break every connection and end what still runs."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        tasks = [*self.answering, *([self.sampler] if self.sampler is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def start_backend(
    host: str,
    port: int,
    *,
    slots: int = 10,
    connections: int = 250,
    service_ms: float = 20.0,
    seed: int = 1,
    journal: str = "",
) -> BackendServer:
    """Start a stand-in on ``host``; ``port`` 0 takes a free one. Its name is its address.

    ``journal`` is a file to which each execution is written as it begins.
    """
    server = BackendServer(
        name="", slots=slots, connections=connections, service_ms=service_ms, seed=seed
    )
    if journal:
        server.journal = os.open(journal, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    loop = asyncio.get_running_loop()
    server.listener = await loop.create_server(lambda: Connection(server), host, port, backlog=512)
    bound = server.listener.sockets[0].getsockname()
    server.name = f"{bound[0]}:{bound[1]}"
    return server
