"""Servers that end, by a request or of themselves, and what becomes of all other requests."""

import asyncio
import random
from collections import Counter

import attrs

from bench.model._virtual_loop import VirtualLoop
from bench.quarantine._news_network import SERVICE, NewsNetwork
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, Request, RequestBody, inline_body
from marjoramtide.serving._crash_detector import CrashDetector
from marjoramtide.serving._in_flight_request import InFlightRequest
from marjoramtide.settings import RouteSettings

GUILTY = "/guilty"
HOP_S = 0.001
# How soon a node knows that nobody listens after a connection has ended.
NOTICED_S = 0.002
SLOTS = 18
CALLER_WAITS_S = 0.3
NO_BODY: RequestBody = inline_body()


@attrs.frozen(slots=True)
class PlayPlan:
    """A service of ``servers``, with ``per_s`` requests a second of ``work_s`` on the mean.

    ``common`` of them ask for one of ``pages`` pages, the others for something of their own. The
    guilty request comes ``guilty_per_s`` times a second from ``guilty_from_s`` on, and ends a
    server after ``deadly_s``. Every ``loss_every_s`` seconds a ``loss_share`` of the servers ends
    at one moment. Servers are back after ``back_s``.
    """

    servers: int = 6
    per_s: float = 150.0
    work_s: float = 0.12
    common: float = 0.3
    pages: int = 20
    guilty_per_s: float = 0.0
    guilty_from_s: float = 10.0
    deadly_s: float = 0.08
    loss_every_s: float = 0.0
    loss_share: float = 0.15
    back_s: float = 3.5
    seconds: float = 60.0
    quarantine_after: int = 2
    news_loss: float = 0.01
    seed: int = 1


@attrs.define(slots=True)
class Tally:
    """What became of the requests; the guilty ones are counted apart."""

    asked: int = 0
    served: int = 0
    held: int = 0
    failed: int = 0
    common_held: int = 0
    ends: int = 0
    guilty_ends: int = 0
    guilty_asked: int = 0


class PlayedServer:
    """A backend server: what it runs, and whether it is up."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.up = True
        self.runs: dict[int, tuple[InFlightRequest, asyncio.Future[bool]]] = {}
        self.watch = CrashDetector()


class PlayedFleet:
    """Places requests at random on servers that are up and have room."""

    def __init__(self, plan: PlayPlan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(plan.seed)
        self.network = NewsNetwork(plan.servers, plan.seed, plan.news_loss)
        for node in self.network.nodes:
            node.configure(RouteSettings(quarantine_after=plan.quarantine_after))
        self.servers = [PlayedServer(self.loop) for _ in range(plan.servers)]
        self.tally = Tally()
        self.reasons: Counter[str] = Counter()
        self.tickets = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> Tally:
        """Play the plan and return what became of its requests."""
        ends = self.loop.time() + self.plan.seconds
        arrivals = [self.arrive(self.plan.per_s, self.ordinary, ends)]
        if self.plan.guilty_per_s:
            arrivals.append(self.ask_for_guilty(ends))
        if self.plan.loss_every_s:
            arrivals.append(self.lose_some(ends))
        await asyncio.gather(*arrivals)
        await asyncio.gather(*self.tasks)
        self.network.close()
        return self.tally

    def ordinary(self) -> str:
        """Return the path of another request."""
        if self.rng.random() < self.plan.common:
            return f"/page/{self.rng.randrange(self.plan.pages)}"
        return f"/own/{self.rng.getrandbits(48):x}"

    async def arrive(self, per_s: float, path, ends: float) -> None:  # type: ignore[no-untyped-def]
        while self.loop.time() < ends:
            await asyncio.sleep(self.rng.expovariate(per_s))
            task = self.loop.create_task(self.call(path()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def ask_for_guilty(self, ends: float) -> None:
        await asyncio.sleep(self.plan.guilty_from_s)
        await self.arrive(self.plan.guilty_per_s, lambda: GUILTY, ends)

    async def lose_some(self, ends: float) -> None:
        while self.loop.time() < ends:
            await asyncio.sleep(self.plan.loss_every_s)
            count = max(1, round(self.plan.loss_share * len(self.servers)))
            for number in self.rng.sample(range(len(self.servers)), count):
                self.end(number)

    async def call(self, path: str) -> None:
        """Ask as a caller does: once more after a failure, unless told to come back later."""
        served, held = await self.attempt(path)
        if not served and not held:
            await asyncio.sleep(CALLER_WAITS_S)
            served, held = await self.attempt(path)
        tally = self.tally
        if path == GUILTY:
            tally.guilty_asked += 1
            return
        tally.asked += 1
        tally.served += served
        tally.held += held
        tally.failed += not served and not held
        tally.common_held += held and path.startswith("/page/")

    async def attempt(self, path: str) -> tuple[bool, bool]:
        """Try two servers; return whether it was served, and whether it is held back."""
        tried: set[int] = set()
        for _ in range(2):
            places = [
                number
                for number, server in enumerate(self.servers)
                if server.up and len(server.runs) < SLOTS and number not in tried
            ]
            if not places:
                return False, False
            number = self.rng.choice(places)
            tried.add(number)
            await asyncio.sleep(HOP_S)
            try:
                if await self.run(number, path):
                    return True, False
            except NotRunError as error:
                if error.code is ErrorCode.QUARANTINED:
                    return False, True
        return False, False

    async def run(self, number: int, path: str) -> bool:
        """Run a request at a server; return whether it was answered."""
        node, server = self.network.nodes[number], self.servers[number]
        request = Request(SERVICE, "GET", path, (), False, True, 0.0)
        fingerprint = node.fingerprint(request, NO_BODY)
        node.check(request, fingerprint)
        if not server.up:
            return False
        node.begin(request, fingerprint)
        self.tickets += 1
        ticket = self.tickets
        run = InFlightRequest(fingerprint, str(ticket), request.label, self.loop.time())
        ended: asyncio.Future[bool] = self.loop.create_future()
        server.runs[ticket] = (run, ended)
        server.watch.request_started(ticket, run)
        if path == GUILTY:
            timer = self.loop.call_later(self.plan.deadly_s, self.end, number, ticket)
        else:
            work_s = self.rng.uniform(0.5, 1.5) * self.plan.work_s
            timer = self.loop.call_later(work_s, self.answer, number, ticket)
        if await ended:
            node.completed(fingerprint)
            return True
        timer.cancel()
        await asyncio.sleep(NOTICED_S)
        return False

    def answer(self, number: int, ticket: int) -> None:
        server = self.servers[number]
        if ticket in server.runs:
            server.watch.request_completed(ticket, self.loop.time())
            server.runs.pop(ticket)[1].set_result(True)

    def end(self, number: int, by: int | None = None) -> None:
        """End a server, by one of its runs or of itself."""
        server, now = self.servers[number], self.loop.time()
        if not server.up or (by is not None and by not in server.runs):
            return
        server.up = False
        self.tally.ends += 1
        self.tally.guilty_ends += by is not None
        for ticket, (_, ended) in server.runs.items():
            server.watch.request_lost(ticket, by_server=True, now=now)
            ended.set_result(False)
        server.runs.clear()
        self.loop.call_later(NOTICED_S / 2, self.noticed, number)
        self.loop.call_later(self.plan.back_s, self.back, number)

    def noticed(self, number: int) -> None:
        suspects = self.servers[number].watch.connection_refused(self.loop.time())
        if suspects:
            self.network.nodes[number].server_crashed(suspects)

    def back(self, number: int) -> None:
        server = self.servers[number]
        server.up = True
        server.watch.note_response(self.loop.time(), self.loop.time())


def play(plan: PlayPlan) -> Tally:
    """Play a plan in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:

        async def run() -> Tally:
            return await PlayedFleet(plan).play()

        return runner.run(run())
