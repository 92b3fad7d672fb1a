"""The backend server stand-in: execution, faults and admin endpoints."""

import asyncio
import json
import os
import random
import time
from collections import deque
from collections.abc import Callable

import attrs
import xxhash

from standins.backend._connection import Connection
from standins.backend._faults import Faults
from standins.backend._ledger import Ledger
from standins.backend._request import Request
from standins.backend._response import Response, json_response, refused_response
from standins.backend._service_time import ServiceTime
from standins.backend._slots import Slots
from standins.expected_body import expected_body

DEFAULT_BODY_BYTES = 256
CRASH_EXIT_STATUS = 70


def exit_process() -> None:
    """Exit at once without any clean-up, as a crash in a server's own code does."""
    os._exit(CRASH_EXIT_STATUS)


class BackendServer:
    """A backend server with slots, health and load endpoints, and fault injection."""

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
        self.response_tasks: set[asyncio.Task[None]] = set()
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.cold_since = self.now()
        self.drain_since = 0.0
        self.snapshots: deque[dict[str, object]] = deque(maxlen=2)
        self.sampler: asyncio.Task[None] | None = None
        self.crash: Callable[[], None] = exit_process
        self.crash_task: asyncio.Task[None] | None = None
        self.listener: asyncio.Server | None = None

    @staticmethod
    def now() -> float:
        return time.monotonic()

    def draw_fault(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    @property
    def state(self) -> str:
        return "draining" if self.faults.drain else "ready"

    async def answer(self, request: Request, connection: Connection) -> Response | None:
        """Return the response; ``None`` closes the connection without one."""
        if request.path.startswith("/_admin/"):
            return self.handle_admin_request(request)
        await self.unfrozen.wait()
        answer = await self.respond_to_caller(request, connection)
        if answer is not None:
            answer.headers |= self.statement_headers()
        return answer

    def statement_headers(self) -> dict[str, str]:
        """Return the headers that state its rate limit and that it is leaving."""
        rate = {"Backend-Rate-Limit": self.faults.rate_limit} if self.faults.rate_limit else {}
        return rate | ({"Backend-Leaving": "1"} if self.faults.leaving else {})

    async def respond_to_caller(self, request: Request, connection: Connection) -> Response | None:
        """Respond to any request but those of the admin endpoints."""
        if request.path == "/health":
            self.ledger.health_reads += 1
            return json_response({"state": self.state})
        if request.path == "/load":
            self.ledger.load_reads += 1
            return json_response(self.reported_load())
        response = await self.serve(request, connection)
        await self.unfrozen.wait()
        return response

    async def serve(self, request: Request, connection: Connection) -> Response | None:
        """Refuse the request, or run it in a slot."""
        if self.draw_fault(self.faults.fail_fast):
            return Response(500, {"Content-Type": "text/plain"}, b"failed")
        reason = self.refusal_reason()
        if not reason and not await self.slots.acquire(request.timeout_s):
            reason = "deadline"
        if reason:
            self.ledger.refusals += 1
            return refused_response(reason)
        try:
            await self.run(request, connection)
        finally:
            self.slots.release()
        if self.draw_fault(self.faults.close_before_answer):
            return None
        if self.draw_fault(self.faults.late):
            await asyncio.sleep(self.faults.late_ms / 1000)
        return self.executed_response(request)

    def refusal_reason(self) -> str:
        if self.draw_fault(self.faults.shed):
            return "shed"
        grace_s = self.faults.drain_grace_ms / 1000
        if self.faults.drain and self.now() - self.drain_since >= grace_s:
            return "draining"
        return ""

    async def run(self, request: Request, connection: Connection) -> None:
        """Execute the request; it counts as run from here on, even if its caller disconnects."""
        connection.is_running_non_idempotent = not request.is_idempotent
        if self.faults.drain:
            self.ledger.last_run_after_drain_s = self.now() - self.drain_since
        key = request.headers.get("idempotency-key", "").strip('"')
        for _ in range(2 if self.draw_fault(self.faults.run_twice) else 1):
            self.ledger.record_execution(request.request_id, key)
            self.write_journal(request.request_id, key)
        self.ledger.peak = max(self.ledger.peak, self.slots.in_use)
        began = self.now()
        try:
            if request.path == self.faults.deadly:
                await asyncio.sleep(self.faults.deadly_ms / 1000)
                if self.faults.deadly_freezes:
                    self.set_faults(attrs.evolve(self.faults, freeze=True))
                    await self.unfrozen.wait()
                else:
                    # A separate task, since this one is cancelled with its connection.
                    self.crash_task = asyncio.create_task(self.crash_from_request())
            requested_ms = request.query_number("ms")
            await asyncio.sleep(
                self.service_time.draw_s(self.faults, began, self.cold_since, requested_ms)
            )
        finally:
            self.ledger.busy_s += self.now() - began

    async def crash_from_request(self) -> None:
        """Crash; before the exit all connections may break while new ones are still accepted."""
        if self.faults.deadly_lingers_ms:
            for connection in list(self.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            self.unfrozen.clear()
            await asyncio.sleep(self.faults.deadly_lingers_ms / 1000)
        self.crash()

    def write_journal(self, request_id: str, key: str) -> None:
        """Append the execution to the journal file, which survives a crash of this process."""
        if self.journal is not None:
            os.write(self.journal, f"{time.time():.3f}\t{request_id}\t{key}\n".encode())

    def executed_response(self, request: Request) -> Response:
        """Return the response to a request that was run."""
        if self.draw_fault(self.faults.false_not_run):
            return refused_response("false not-run")
        size = request.query_number("bytes")
        wanted = DEFAULT_BODY_BYTES if size is None else int(size)
        wrong = self.draw_fault(self.faults.wrong_body)
        body = expected_body("another" if wrong else request.request_id, wanted)
        headers = {
            "Content-Type": "application/octet-stream",
            "X-Echo-Id": request.request_id,
            "X-Body-Digest": xxhash.xxh64(request.body).hexdigest(),
            "X-Backend": self.name,
        }
        sent_bytes = wanted // 2 if self.draw_fault(self.faults.truncate) else None
        return Response(200, headers, body, sent_bytes, chunked=request.path.startswith("/chunked"))

    def load(self) -> dict[str, object]:
        """Return the true current load."""
        return {
            "in_use": self.slots.in_use,
            "slots": self.slots.total,
            "queued": self.slots.queued,
            "state": self.state,
        }

    def reported_load(self) -> dict[str, object]:
        """Return what the load endpoint reports: it may be old or misleading."""
        reported = self.snapshots[0] if self.snapshots else self.load()
        return {**reported, "in_use": 0, "queued": 0} if self.faults.mislead else reported

    async def sample(self, lag_s: float) -> None:
        """Keep two load snapshots; the older one has between half the lag and the full lag."""
        while True:
            self.snapshots.append(self.load())
            await asyncio.sleep(lag_s / 2)

    def handle_admin_request(self, request: Request) -> Response:
        """Respond to the admin endpoints by which tests and the replay control the stand-in."""
        match request.method, request.path:
            case "GET", "/_admin/executions":
                return json_response(self.report())
            case "GET", "/_admin/stats":
                return json_response(self.stats())
            case "GET", "/_admin/faults":
                return json_response(attrs.asdict(self.faults))
            case "POST", "/_admin/faults":
                return self.change_faults(request.body)
            case "POST", "/_admin/reset":
                self.ledger = Ledger()
                self.set_faults(Faults())
                return json_response({})
        return json_response({"error": f"no {request.method} {request.path} here"}, 404)

    def report(self) -> dict[str, object]:
        """Return executions by request id and by key, and the statistics."""
        counts = {"requests": self.ledger.requests, "keys": self.ledger.keys}
        return {**counts, "stats": self.stats()}

    def stats(self) -> dict[str, object]:
        counts = attrs.asdict(
            self.ledger, filter=lambda field, _: field.name not in ("requests", "keys")
        )
        return {**self.load(), **counts, "connections": len(self.connections)}

    def change_faults(self, body: bytes) -> Response:
        try:
            changes = json.loads(body or b"{}")
            self.set_faults(self.faults.updated(changes))
        except (ValueError, TypeError) as error:
            return json_response({"error": str(error)}, 400)
        return json_response(attrs.asdict(self.faults))

    def set_faults(self, faults: Faults) -> None:
        """Put ``faults`` in force; a new cold start or drain counts from now."""
        before, self.faults = self.faults, faults
        if faults.cold_start_s != before.cold_start_s:
            self.cold_since = self.now()
        if faults.drain and not before.drain:
            self.drain_since = self.now()
        if faults.freeze:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()
        if faults.load_lag_ms != before.load_lag_ms:
            self.restart_sampler(faults.load_lag_ms / 1000)

    def restart_sampler(self, lag_s: float) -> None:
        if self.sampler is not None:
            self.sampler.cancel()
        self.sampler = asyncio.create_task(self.sample(lag_s)) if lag_s > 0 else None
        self.snapshots.clear()

    async def close(self) -> None:
        """Stop listening, abort all connections and cancel all tasks."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
        tasks = [*self.response_tasks, *([self.sampler] if self.sampler is not None else [])]
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
    """Start a stand-in on ``host``, named by its address; ``port`` 0 picks a free port.

    ``journal`` is a file to which each execution is appended when it starts.
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
