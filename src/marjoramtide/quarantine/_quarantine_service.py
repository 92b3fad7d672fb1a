"""The quarantine as a running part of a node."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import Fingerprinter, NotRunError, Request, RequestBody
from marjoramtide.membership import Directory, Member
from marjoramtide.policy import (
    CompletedRequests,
    HoldRule,
    Quarantine,
    RunVerdict,
    ServerEnd,
    Suspect,
    Suspicion,
)
from marjoramtide.quarantine._news_codec import pack_news, unpack_news
from marjoramtide.serving import Run, RunGuard
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

STEP = "quarantine"
# Between two rounds of what is told again, in seconds, while there is something to tell.
ROUND_S = 0.25
# How often the news of an end is told again to all, each a round later. Where one datagram in
# thirty is lost, so are three in a row in one case of 27,000. Measured in virtual time with that
# loss, 100 fleets each: all of 12, 69 and 195 nodes hold a request back 3 ms after the second end
# where nothing is lost, and after 0.25 s to 0.5 s at the 99th percentile else.
REPEATS = 2
# For how long the news of requests that are cleared of one end is gathered, in seconds. Servers
# that end by one request do so a tenth of a second apart, or more.
CLEARED_S = 0.05
# Guilty requests in the bulletin that goes to one node at random, and the share of the rounds that
# have one. Who has started, was cut off or stood still hears of them from any of the others, on the
# mean half a second later, for 200 bytes a second of each node.
TOLD_AT_RANDOM = 20
SHARE_OF_ROUNDS = 0.5


class QuarantineService(RunGuard):
    """Refuses requests that end backend servers, at all nodes of a service alike.

    The node beside a server knows what ran there when it ended, and tells the other nodes of its
    service, since only they hand requests to such servers. Each decides by itself, from what it has
    heard; nothing is agreed on, and no node is asked before a request is run.

    ``publish`` sends small news to members, which may be lost. ``held_listener`` is told each
    request that is held back from now on, so that none waits for a server in vain.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        fingerprinter: Fingerprinter,
        directory: Directory,
        publish: Callable[[list[Any], Iterable[Member]], None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.quarantine = quarantine
        self.fingerprinter = fingerprinter
        self.directory = directory
        self.publish = publish
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.held_listener: Callable[[int], None] = lambda fingerprint: None
        self.end = rng.getrandbits(64)
        self.has_ended = False
        self.completed_here = CompletedRequests()
        # Fingerprints that are told to all in the next rounds, and in how many of these.
        self.due: dict[int, int] = {}
        self.news = asyncio.Event()
        self.cleared: dict[int, None] = {}
        self.timer: asyncio.TimerHandle | None = None

    def configure(self, settings: RouteSettings) -> None:
        """Go on by these settings of the own service."""
        self.quarantine.rule = HoldRule(settings.quarantine_after, settings.quarantine_s)

    # The guard of the own backend server

    def fingerprint(self, request: Request, body: RequestBody) -> int:
        return self.fingerprinter.of(request, body)

    def check(self, request: Request, fingerprint: int) -> None:
        suspect = self.quarantine.find(fingerprint)
        if suspect is not None:
            wait_s = self.quarantine.wait_s(suspect, self.clock.monotonic())
            if wait_s > 0:
                self._refuse(request, suspect, wait_s)

    def begin(self, request: Request, fingerprint: int) -> None:
        judgement = self.quarantine.judge(fingerprint, self.clock.monotonic())
        if judgement.verdict is RunVerdict.RUN:
            return
        suspect = self.quarantine.find(fingerprint)
        assert suspect is not None
        if judgement.verdict is RunVerdict.HOLD:
            self._refuse(request, suspect, judgement.wait_s)
        self.metrics.count("quarantine.trials")
        log.warning("quarantine.trial", step=STEP, **describe(suspect))
        self._tell_at_once([suspect])

    def completed(self, fingerprint: int) -> None:
        if self.has_ended:
            self._begin_start()
        self.completed_here.add(fingerprint)
        if self.quarantine.find(fingerprint) is not None:
            self.clear(fingerprint, "completed")

    def server_ended(self, suspects: Sequence[Run]) -> None:
        """Suspect what ran there, but for what the server has completed before."""
        now = self.clock.monotonic()
        self.has_ended = True
        # The same request may run there several times at once.
        different = {run.fingerprint: run for run in suspects}.values()
        excuse = self.completed_here.excuse
        blamed = [run for run in different if not excuse(run.fingerprint, self.end)]
        for run in blamed:
            end = ServerEnd(self.end, ran_s=now - run.started)
            heard = Suspicion(run.fingerprint, (end,))
            self._take(heard, now, run.label)
        found = (self.quarantine.find(run.fingerprint) for run in blamed)
        self._tell_at_once([suspect for suspect in found if suspect is not None])

    def server_replaced(self) -> None:
        self._begin_start()

    def _begin_start(self) -> None:
        self.end = self.rng.getrandbits(64)
        self.has_ended = False

    def _refuse(self, request: Request, suspect: Suspect, wait_s: float) -> None:
        suspect.refused += 1
        suspect.label = suspect.label or request.label
        self.metrics.count("quarantine.refused")
        raise NotRunError(
            ErrorCode.QUARANTINED,
            "backend servers ended while they ran this request",
            step=STEP,
            retry_after_ms=math.ceil(wait_s * 1000),
        )

    def node_ended(self, service: str, suspects: Sequence[Run]) -> None:
        """Suspect what was lost with a node that has ended; those of its service are told.

        Its runs are known to the nodes that had sent them there, each of which tells its part of
        the same end.
        """
        now = self.clock.monotonic()
        number = self.rng.getrandbits(64)
        heard = [
            Suspicion(run.fingerprint, (ServerEnd(number, ran_s=now - run.started),))
            for run in {run.fingerprint: run for run in suspects}.values()
        ]
        if service == self.directory.self_member.service:
            for suspicion in heard:
                self._take(suspicion, now)
        self._publish(heard, self._beside(service))
        loop = asyncio.get_running_loop()
        for number in range(1, REPEATS + 1):
            loop.call_later(number * ROUND_S, lambda: self._publish(heard, self._beside(service)))

    # What nodes tell each other

    def take(self, member: Member, fields: list[Any]) -> None:
        """Take in the news of another node."""
        try:
            heard = unpack_news(fields)
        except ValueError as error:
            self.metrics.count("quarantine.malformed")
            log.warning(
                "quarantine.malformed",
                code=ErrorCode.BAD_FRAME,
                step=STEP,
                peer=member.node,
                reason=str(error),
            )
            return
        now = self.clock.monotonic()
        for suspicion in heard:
            self._take(suspicion, now)

    def _take(self, heard: Suspicion, now: float, label: str = "") -> None:
        known = self.quarantine.find(heard.fingerprint)
        was_guilty = known is not None and self.quarantine.is_guilty(known)
        suspect, is_new = self.quarantine.take(heard, now)
        suspect.label = suspect.label or label
        is_guilty = self.quarantine.is_guilty(suspect)
        if is_new and is_guilty:
            self.held_listener(heard.fingerprint)
            self.news.set()
        if is_guilty and not was_guilty:
            self.metrics.count("quarantine.held")
            wait_s = round(self.quarantine.wait_s(suspect, now), 1)
            log.warning("quarantine.held", step=STEP, wait_s=wait_s, **describe(suspect))
        elif was_guilty and not is_guilty:
            self._note_release(suspect, "another-node")

    def clear(self, fingerprint: int, by: str) -> bool:
        """Clear a request of what it is suspected of; return whether there was anything."""
        known = self.quarantine.find(fingerprint)
        was_guilty = known is not None and self.quarantine.is_guilty(known)
        suspect = self.quarantine.clear(fingerprint)
        if suspect is None:
            return False
        if was_guilty:
            self._note_release(suspect, by)
            self._tell_at_once([suspect])
        else:
            self._tell_soon(fingerprint)
        return True

    def _tell_soon(self, fingerprint: int) -> None:
        """Tell all of a request that is cleared of the one end it was suspected of.

        Nobody holds it back, but the next end would. Those that were lost with one server are
        completed by others at about the same time, so one bulletin tells of several.
        """
        self.cleared[fingerprint] = None
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(CLEARED_S, self._tell_cleared)

    def _tell_cleared(self) -> None:
        self.timer = None
        cleared, self.cleared = self.cleared, {}
        found = (self.quarantine.find(fingerprint) for fingerprint in cleared)
        self._tell([suspect for suspect in found if suspect is not None], self._mates())

    def _note_release(self, suspect: Suspect, by: str) -> None:
        self.metrics.count("quarantine.released")
        log.warning("quarantine.released", step=STEP, by=by, **describe(suspect))

    def release(self, fingerprint: int) -> None:
        """Let a request run again, on an operator's word; raises ``not-found``."""
        if not self.clear(fingerprint, "operator"):
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"{fingerprint:016x} is not suspected of anything here",
                step="quarantine.release",
            )

    def _tell_at_once(self, suspects: list[Suspect]) -> None:
        if suspects:
            self._tell(suspects, self._mates())
            self.due.update(dict.fromkeys((each.fingerprint for each in suspects), REPEATS))
            self.news.set()

    def _tell(self, suspects: Iterable[Suspect], readers: Sequence[Member]) -> None:
        now = self.clock.monotonic()
        self._publish((suspect.told(now) for suspect in suspects), readers)

    def _publish(self, suspicions: Iterable[Suspicion], readers: Sequence[Member]) -> None:
        for fields in pack_news(suspicions):
            self.publish(fields, readers)

    def _mates(self) -> list[Member]:
        return self._beside(self.directory.self_member.service)

    def _beside(self, service: str) -> list[Member]:
        """Return the other members beside servers of a service, in whatever state."""
        own = self.directory.self_member
        return [
            member
            for member in self.directory.members()
            if member.service == service and member.node != own.node
        ]

    async def run(self) -> None:
        """Tell again what others may have missed, until cancelled."""
        while True:
            await self.news.wait()
            await self.clock.sleep(ROUND_S)
            self.tell_again()

    def tell_again(self) -> None:
        """Play one round: what is due to all, and guilty requests to one node at random."""
        mates = self._mates()
        found = (self.quarantine.find(fingerprint) for fingerprint in self.due)
        self._tell([suspect for suspect in found if suspect is not None], mates)
        self.due = {each: left - 1 for each, left in self.due.items() if left > 1}
        guilty = self.quarantine.guilty()
        if guilty and mates and self.rng.random() < SHARE_OF_ROUNDS:
            chosen = self.rng.sample(guilty, min(len(guilty), TOLD_AT_RANDOM))
            self._tell(chosen, [self.rng.choice(mates)])
        if not self.due and not guilty:
            self.news.clear()

    # What operators see

    def shown(self) -> list[dict[str, Any]]:
        """Return what is held back, as plain values."""
        now = self.clock.monotonic()
        return [
            describe(suspect)
            | {
                "wait_s": round(self.quarantine.wait_s(suspect, now), 1),
                "refused": suspect.refused,
            }
            for suspect in self.quarantine.guilty()
        ]


def describe(suspect: Suspect) -> dict[str, Any]:
    """Return a suspect as the log and operators name it."""
    return {
        "fingerprint": f"{suspect.fingerprint:016x}",
        "what": suspect.label,
        "ends": suspect.blamed,
    }


def make_quarantine(
    key: str,
    directory: Directory,
    publish: Callable[[list[Any], Iterable[Member]], None],
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> QuarantineService:
    """Return the quarantine of a node whose fleet has this key; nothing is suspected yet."""
    return QuarantineService(
        Quarantine(), Fingerprinter(key), directory, publish, clock, rng, metrics
    )
