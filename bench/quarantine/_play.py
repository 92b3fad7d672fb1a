"""Simulates servers that crash, by a guilty request or at random, and the other requests."""

import asyncio
import random
from collections import Counter

import attrs

from bench.model._virtual_loop import VirtualLoop
from bench.quarantine._news_network import SERVICE, BulletinNetwork
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, Request, RequestBody, inline_body
from marjoramtide.serving._crash_detector import CrashDetector
from marjoramtide.serving._in_flight_request import InFlightRequest
from marjoramtide.settings import RouteSettings

GUILTY = "/guilty"
LATENCY_S = 0.001
# Time from a lost connection until the node knows that its server refuses connections.
DETECTION_S = 0.002
SLOTS = 18
RETRY_DELAY_S = 0.3
NO_BODY: RequestBody = inline_body()


@attrs.frozen(slots=True)
class QuarantinePlan:
    """A service of ``servers`` servers and ``per_s`` requests per second of mean work ``work_s``.

    A share ``common_share`` of the requests is for one of ``pages`` pages, each other one for a
    path of its own. The guilty request arrives ``guilty_per_s`` times a second from
    ``guilty_from_s`` on, and crashes a server after ``deadly_s``. Every ``crash_every_s`` seconds
    a share ``crash_share`` of the servers crashes at the same time. Servers restart after
    ``restart_s``.
    """

    servers: int = 6
    per_s: float = 150.0
    work_s: float = 0.12
    common_share: float = 0.3
    pages: int = 20
    guilty_per_s: float = 0.0
    guilty_from_s: float = 10.0
    deadly_s: float = 0.08
    crash_every_s: float = 0.0
    crash_share: float = 0.15
    restart_s: float = 3.5
    seconds: float = 60.0
    quarantine_after: int = 2
    bulletin_loss: float = 0.01
    seed: int = 1


@attrs.define(slots=True)
class QuarantineTally:
    """Outcomes of the requests; guilty requests count only in ``guilty_sent``."""

    asked: int = 0
    served: int = 0
    held: int = 0
    failed: int = 0
    common_held: int = 0
    crashes: int = 0
    guilty_crashes: int = 0
    guilty_sent: int = 0


class SimulatedServer:
    """A simulated backend server with its running requests."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.is_up = True
        self.runs: dict[int, tuple[InFlightRequest, asyncio.Future[bool]]] = {}
        self.crash_detector = CrashDetector()


class SimulatedFleet:
    """Sends requests to random servers that are up and have a free slot."""

    def __init__(self, plan: QuarantinePlan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(plan.seed)
        self.network = BulletinNetwork(plan.servers, plan.seed, plan.bulletin_loss)
        for node in self.network.nodes:
            node.configure(RouteSettings(quarantine_after=plan.quarantine_after))
        self.servers = [SimulatedServer(self.loop) for _ in range(plan.servers)]
        self.tally = QuarantineTally()
        self.reasons: Counter[str] = Counter()
        self.last_run_id = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run_all(self) -> QuarantineTally:
        """Run the simulation and return the outcomes of its requests."""
        ends_at = self.loop.time() + self.plan.seconds
        arrivals = [self.generate_requests(self.plan.per_s, self.innocent_path, ends_at)]
        if self.plan.guilty_per_s:
            arrivals.append(self.send_guilty(ends_at))
        if self.plan.crash_every_s:
            arrivals.append(self.crash_some(ends_at))
        await asyncio.gather(*arrivals)
        await asyncio.gather(*self.tasks)
        self.network.close()
        return self.tally

    def innocent_path(self) -> str:
        """Return the path of an innocent request."""
        if self.rng.random() < self.plan.common_share:
            return f"/page/{self.rng.randrange(self.plan.pages)}"
        return f"/own/{self.rng.getrandbits(48):x}"

    async def generate_requests(self, per_s: float, path, ends_at: float) -> None:  # type: ignore[no-untyped-def]
        while self.loop.time() < ends_at:
            await asyncio.sleep(self.rng.expovariate(per_s))
            task = self.loop.create_task(self.send_request(path()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send_guilty(self, ends_at: float) -> None:
        await asyncio.sleep(self.plan.guilty_from_s)
        await self.generate_requests(self.plan.guilty_per_s, lambda: GUILTY, ends_at)

    async def crash_some(self, ends_at: float) -> None:
        while self.loop.time() < ends_at:
            await asyncio.sleep(self.plan.crash_every_s)
            count = max(1, round(self.plan.crash_share * len(self.servers)))
            for number in self.rng.sample(range(len(self.servers)), count):
                self.crash(number)

    async def send_request(self, path: str) -> None:
        """Send a request as a caller does: retry once after a failure, unless it is held back."""
        served, held = await self.attempt(path)
        if not served and not held:
            await asyncio.sleep(RETRY_DELAY_S)
            served, held = await self.attempt(path)
        tally = self.tally
        if path == GUILTY:
            tally.guilty_sent += 1
            return
        tally.asked += 1
        tally.served += served
        tally.held += held
        tally.failed += not served and not held
        tally.common_held += held and path.startswith("/page/")

    async def attempt(self, path: str) -> tuple[bool, bool]:
        """Try up to two servers; return whether it was served, and whether it is held back."""
        tried: set[int] = set()
        for _ in range(2):
            candidates = [
                number
                for number, server in enumerate(self.servers)
                if server.is_up and len(server.runs) < SLOTS and number not in tried
            ]
            if not candidates:
                return False, False
            number = self.rng.choice(candidates)
            tried.add(number)
            await asyncio.sleep(LATENCY_S)
            try:
                if await self.run(number, path):
                    return True, False
            except NotRunError as error:
                if error.code is ErrorCode.QUARANTINED:
                    return False, True
        return False, False

    async def run(self, number: int, path: str) -> bool:
        """Run a request at a server; return whether it completed."""
        node, server = self.network.nodes[number], self.servers[number]
        request = Request(SERVICE, "GET", path, (), False, True, 0.0)
        fingerprint = node.fingerprint(request, NO_BODY)
        node.check(request, fingerprint)
        if not server.is_up:
            return False
        node.begin(request, fingerprint)
        self.last_run_id += 1
        run_id = self.last_run_id
        run = InFlightRequest(fingerprint, str(run_id), request.label, self.loop.time())
        completion: asyncio.Future[bool] = self.loop.create_future()
        server.runs[run_id] = (run, completion)
        server.crash_detector.request_started(run_id, run)
        if path == GUILTY:
            timer = self.loop.call_later(self.plan.deadly_s, self.crash, number, run_id)
        else:
            work_s = self.rng.uniform(0.5, 1.5) * self.plan.work_s
            timer = self.loop.call_later(work_s, self.complete, number, run_id)
        if await completion:
            node.completed(fingerprint)
            return True
        timer.cancel()
        await asyncio.sleep(DETECTION_S)
        return False

    def complete(self, number: int, run_id: int) -> None:
        server = self.servers[number]
        if run_id in server.runs:
            server.crash_detector.request_completed(run_id, self.loop.time())
            server.runs.pop(run_id)[1].set_result(True)

    def crash(self, number: int, crashed_by: int | None = None) -> None:
        """Crash a server, by one of its running requests or at random."""
        server, now = self.servers[number], self.loop.time()
        if not server.is_up or (crashed_by is not None and crashed_by not in server.runs):
            return
        server.is_up = False
        self.tally.crashes += 1
        self.tally.guilty_crashes += crashed_by is not None
        for run_id, (_, completion) in server.runs.items():
            server.crash_detector.request_lost(run_id, by_server=True, now=now)
            completion.set_result(False)
        server.runs.clear()
        self.loop.call_later(DETECTION_S / 2, self.detect_crash, number)
        self.loop.call_later(self.plan.restart_s, self.restart, number)

    def detect_crash(self, number: int) -> None:
        suspects = self.servers[number].crash_detector.connection_refused(self.loop.time())
        if suspects:
            self.network.nodes[number].server_ended(suspects)

    def restart(self, number: int) -> None:
        server = self.servers[number]
        server.is_up = True
        server.crash_detector.note_response(self.loop.time(), self.loop.time())


def simulate_quarantine(plan: QuarantinePlan) -> QuarantineTally:
    """Simulate a plan in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:

        async def run() -> QuarantineTally:
            return await SimulatedFleet(plan).run_all()

        return runner.run(run())
