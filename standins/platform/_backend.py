"""A backend server that speaks the platform's headers."""

import asyncio
import time

import attrs

from standins.backend._answer import Answer
from standins.backend._connection import Connection
from standins.backend._request import Request
from standins.backend._server import BackendServer
from standins.backend._slots import Slots

SEAL = "seal-"
REFUSED = 503
HEALTH_PATH = "/health"


@attrs.frozen(slots=True)
class Arrival:
    """A request that reached the server: when, in seconds of the monotonic clock, and its id."""

    at: float
    attempt: str


class PlatformBackendServer(BackendServer):
    """The stand-in with identities, seals, load headers and the platform's faults.

    ``instance`` is the identity of this start; ``slowdown`` what it tells of its neighbours.
    ``extra_answers`` is how many answers are followed by a second one, ``unsealed`` how many
    successes come without a seal. ``seen`` holds the headers of each request that ran. Until
    ``cold_until``, in seconds of the loop's clock, the server is cold, and tells so if
    ``tells_cold``; ``arrivals`` holds the times at which requests came meanwhile.

    It names ``rate`` as its limit, in any form of text, and says that it leaves while ``leaves``;
    in its health too if ``health_states``. ``received`` holds each request that came to this start.
    A connection that was idle for ``keeps_idle_s``, unless that is 0, breaks by the next request.
    """

    instance = "i-1"
    slowdown = 1.0
    extra_answers = 0
    unsealed = 0
    cold_until: float | None = None
    tells_cold = True
    rate: str | None = None
    leaves = False
    health_states = True
    keeps_idle_s = 0

    def __init__(self, *, slots: int, service_ms: float, seed: int = 1) -> None:
        super().__init__(name="", slots=slots, connections=250, service_ms=service_ms, seed=seed)
        self.seen: list[dict[str, str]] = []
        self.targets: list[str] = []
        self.bodies: list[bytes] = []
        self.arrivals: list[float] = []
        self.received: list[Arrival] = []
        self.owed: dict[Connection, Answer] = {}
        self.silent: set[Connection] = set()
        self.crash = self.end
        self.idle_since: dict[Connection, float] = {}

    async def answer(self, request: Request, connection: Connection) -> Answer | None:
        now = time.monotonic()
        if self.keeps_idle_s and now - self.idle_since.get(connection, now) > self.keeps_idle_s:
            return None
        answer = await self.answer_kept(request, connection)
        if self.keeps_idle_s and answer is not None:
            answer.headers["Keep-Alive"] = f"timeout={self.keeps_idle_s}"
            self.idle_since[connection] = time.monotonic()
        return answer

    async def answer_kept(self, request: Request, connection: Connection) -> Answer | None:
        """Answer on a connection that is still kept."""
        if request.path == HEALTH_PATH:
            status = REFUSED if self.faults.drain else 200
            told = {"X-Instance-Id": self.instance, **self.load_header(), **self.cold_header()}
            if self.health_states:
                told |= self.statement_headers()
            return Answer(status, told)
        self.send_owed(connection)
        expected = request.headers.get("x-expected-instance", self.instance)
        if expected != self.instance:
            return Answer(421, {"X-Instance-Id": self.instance, "X-Not-Executed": "1"})
        if self.cold_left_s() > 0:
            self.arrivals.append(asyncio.get_running_loop().time())
        request.headers["x-request-id"] = attempt = request.headers.get("x-attempt-id", "")
        self.received.append(Arrival(time.monotonic(), attempt))
        request.headers["request-timeout-ms"] = request.headers.get("x-deadline-ms", "")
        answer = await self.serve(request, connection)
        if connection in self.silent:
            await asyncio.Event().wait()
        if answer is None:
            return None
        if answer.headers.pop("Request-Outcome", ""):
            refused = {"X-Not-Executed": "1", "X-Attempt-Id": attempt}
            return Answer(REFUSED, refused | self.statement_headers())
        self.note(request)
        answer.headers |= {"X-Attempt-Id": attempt, **self.load_header()}
        answer.headers |= self.statement_headers()
        if self.unsealed:
            self.unsealed -= 1
        else:
            answer.headers["X-Response-Seal"] = SEAL + attempt
        if self.extra_answers:
            self.extra_answers -= 1
            self.owed[connection] = answer
        return answer

    def end(self) -> None:
        """Crash: break all connections and listen no more, with all that runs."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def come_back(self, instance: str) -> None:
        """Listen again after a crash, as another start."""
        host, _, port = self.name.rpartition(":")
        self.instance = instance
        self.slots = Slots(self.slots.total)
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Connection(self), host, int(port))

    def start_again(self, slots: int) -> None:
        """Crash without a word and start again: old connections stay open and never answer."""
        self.silent |= self.connections
        self.slots = Slots(slots)

    def note(self, request: Request) -> None:
        self.seen.append(request.headers)
        self.targets.append(request.target)
        self.bodies.append(request.body)

    def cold_left_s(self) -> float:
        if self.cold_until is None:
            return 0.0
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    def cold_header(self) -> dict[str, str]:
        if self.cold_until is None or not self.tells_cold:
            return {}
        return {"X-Cold-Remaining-Ms": str(round(self.cold_left_s() * 1000))}

    def statement_headers(self) -> dict[str, str]:
        rate = {} if self.rate is None else {"Server-Limit": self.rate}
        return rate | ({"Server-Leaving": "1"} if self.leaves else {})

    def load_header(self) -> dict[str, str]:
        running, waiting = self.slots.in_use, self.slots.queued
        percent = round(self.slowdown * 100)
        return {"X-Server-Load": f"{running},{waiting},{self.slots.total},{percent}"}

    def send_owed(self, connection: Connection) -> None:
        """Send an answer that was given once already where the next request's answer is due."""
        answer = self.owed.pop(connection, None)
        if answer is not None and connection.transport is not None:
            connection.transport.write(answer.encode(close=False))


async def start_platform_backend(
    host: str, *, slots: int = 10, service_ms: float = 5.0, port: int = 0
) -> PlatformBackendServer:
    """Start a stand-in; its name is its address."""
    server = PlatformBackendServer(slots=slots, service_ms=service_ms)
    loop = asyncio.get_running_loop()
    server.listener = await loop.create_server(lambda: Connection(server), host, port, backlog=512)
    server.name = "{}:{}".format(*server.listener.sockets[0].getsockname())
    return server
