"""A backend server stand-in that uses the platform's HTTP headers."""

import asyncio
import time

import attrs

from standins.backend._connection import Connection
from standins.backend._request import Request
from standins.backend._response import Response
from standins.backend._server import BackendServer
from standins.backend._slots import Slots

SEAL_PREFIX = "seal-"
SERVICE_UNAVAILABLE = 503
HEALTH_PATH = "/health"
ENDLESS_PIECE = b"x" * 65536


@attrs.frozen(slots=True)
class Arrival:
    """A received request: its time, in seconds of the monotonic clock, and its attempt id."""

    at: float
    attempt: str


class PlatformBackendServer(BackendServer):
    """A stand-in with instance ids, response seals, load headers and the platform's faults.

    ``instance`` is the id of this incarnation; ``slowdown`` is the factor that it reports for the
    load of its neighbours. The next ``rejections`` requests are rejected. The next
    ``duplicate_responses`` responses, to rejected requests too, are each sent twice, and the
    next ``unsealed_responses`` successful ones have no seal. The next requests that run get the
    ``own_statuses``, with seal and body as always. The next ``endless_responses`` to POST
    requests have no length and go on until their connection is closed. While ``sends_halves``, of
    each successful response only the head and half of the body are sent; ``is_framed`` is whether
    responses state their length.

    ``executed_headers`` holds the headers of each request that ran, ``received`` each request that
    arrived. Until ``cold_until``, in seconds of the loop's clock, the server is cold, which its
    health reports if ``reports_cold_start``; ``cold_arrivals`` holds the arrival times of that
    period.

    Each response states ``rate`` as the rate limit, as any text, and that the server is leaving if
    ``is_leaving``; health responses do so only if ``health_has_statements``. The next request on a
    connection that was idle for more than ``keep_alive_s`` breaks it; 0 turns this off.
    """

    instance = "i-1"
    slowdown = 1.0
    rejections = 0
    duplicate_responses = 0
    unsealed_responses = 0
    endless_responses = 0
    sends_halves = False
    is_framed = True
    cold_until: float | None = None
    reports_cold_start = True
    rate: str | None = None
    is_leaving = False
    health_has_statements = True
    keep_alive_s = 0

    def __init__(self, *, slots: int, service_ms: float, seed: int = 1) -> None:
        super().__init__(name="", slots=slots, connections=250, service_ms=service_ms, seed=seed)
        self.executed_headers: list[dict[str, str]] = []
        self.targets: list[str] = []
        self.own_statuses: list[int] = []
        self.bodies: list[bytes] = []
        self.cold_arrivals: list[float] = []
        self.received: list[Arrival] = []
        self.duplicates_due: dict[Connection, Response] = {}
        self.silent_connections: set[Connection] = set()
        self.crash = self.simulate_crash
        self.idle_since: dict[Connection, float] = {}

    async def answer(self, request: Request, connection: Connection) -> Response | None:
        now = time.monotonic()
        if self.keep_alive_s and now - self.idle_since.get(connection, now) > self.keep_alive_s:
            return None
        answer = await self.respond_on_open_connection(request, connection)
        if self.keep_alive_s and answer is not None:
            answer.headers["Keep-Alive"] = f"timeout={self.keep_alive_s}"
            self.idle_since[connection] = time.monotonic()
        return answer

    async def respond_on_open_connection(
        self, request: Request, connection: Connection
    ) -> Response | None:
        """Respond on a connection that has not exceeded its keep-alive time."""
        if request.path == HEALTH_PATH:
            status = SERVICE_UNAVAILABLE if self.faults.drain else 200
            headers = {"X-Instance-Id": self.instance, **self.load_header(), **self.cold_header()}
            if self.health_has_statements:
                headers |= self.statement_headers()
            return Response(status, headers)
        self.send_duplicate(connection)
        expected = request.headers.get("x-expected-instance", self.instance)
        if expected != self.instance:
            return Response(421, {"X-Instance-Id": self.instance, "X-Not-Executed": "1"})
        if self.cold_left_s() > 0:
            self.cold_arrivals.append(asyncio.get_running_loop().time())
        request.headers["x-request-id"] = attempt = request.headers.get("x-attempt-id", "")
        self.received.append(Arrival(time.monotonic(), attempt))
        request.headers["request-timeout-ms"] = request.headers.get("x-deadline-ms", "")
        if self.rejections:
            self.rejections -= 1
            rejection = self.rejection(attempt)
            self.draw_duplicate(connection, rejection)
            return rejection
        response = await self.serve(request, connection)
        if connection in self.silent_connections:
            await asyncio.Event().wait()
        if response is None:
            return None
        if response.headers.pop("Request-Outcome", ""):
            return self.rejection(attempt)
        self.record_executed(request)
        response.headers |= {"X-Attempt-Id": attempt, **self.load_header()}
        response.headers |= self.statement_headers()
        if self.own_statuses:
            response.status = self.own_statuses.pop(0)
        if self.unsealed_responses:
            self.unsealed_responses -= 1
        else:
            response.headers["X-Response-Seal"] = SEAL_PREFIX + attempt
        if self.endless_responses and request.method == "POST":
            self.endless_responses -= 1
            response.framed, response.repeats = False, ENDLESS_PIECE
        if self.sends_halves:
            response.framed, response.hangs = self.is_framed, True
            response.sent_bytes = len(response.body) // 2
        self.draw_duplicate(connection, response)
        return response

    def rejection(self, attempt: str) -> Response:
        """Return the response to a request that does not run."""
        headers = {"X-Not-Executed": "1", "X-Attempt-Id": attempt}
        return Response(SERVICE_UNAVAILABLE, headers | self.statement_headers())

    def draw_duplicate(self, connection: Connection, response: Response) -> None:
        """Send this response a second time later, if any are to be."""
        if self.duplicate_responses:
            self.duplicate_responses -= 1
            self.duplicates_due[connection] = response

    def simulate_crash(self) -> None:
        """Abort all connections and stop listening, as a crash does, without exiting."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def restart(self, instance: str) -> None:
        """Listen again after a crash, as another incarnation."""
        host, _, port = self.name.rpartition(":")
        self.instance = instance
        self.slots = Slots(self.slots.total)
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Connection(self), host, int(port))

    def restart_without_closing(self, slots: int) -> None:
        """Start a new incarnation; existing connections stay open and never get a response."""
        self.silent_connections |= self.connections
        self.slots = Slots(slots)

    def record_executed(self, request: Request) -> None:
        self.executed_headers.append(request.headers)
        self.targets.append(request.target)
        self.bodies.append(request.body)

    def cold_left_s(self) -> float:
        if self.cold_until is None:
            return 0.0
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    def cold_header(self) -> dict[str, str]:
        if self.cold_until is None or not self.reports_cold_start:
            return {}
        return {"X-Cold-Remaining-Ms": str(round(self.cold_left_s() * 1000))}

    def statement_headers(self) -> dict[str, str]:
        rate = {} if self.rate is None else {"Server-Limit": self.rate}
        return rate | ({"Server-Leaving": "1"} if self.is_leaving else {})

    def load_header(self) -> dict[str, str]:
        in_use, queued = self.slots.in_use, self.slots.queued
        percent = round(self.slowdown * 100)
        return {"X-Server-Load": f"{in_use},{queued},{self.slots.total},{percent}"}

    def send_duplicate(self, connection: Connection) -> None:
        """Send the previous response again, where the next request expects its own."""
        response = self.duplicates_due.pop(connection, None)
        if response is not None and connection.transport is not None:
            connection.transport.write(response.encode(close=False))


async def start_platform_backend(
    host: str, *, slots: int = 10, service_ms: float = 5.0, port: int = 0
) -> PlatformBackendServer:
    """Start a stand-in, named by its address."""
    server = PlatformBackendServer(slots=slots, service_ms=service_ms)
    loop = asyncio.get_running_loop()
    server.listener = await loop.create_server(lambda: Connection(server), host, port, backlog=512)
    server.name = "{}:{}".format(*server.listener.sockets[0].getsockname())
    return server
