"""The quarantine as a running part of a node."""

import math
import random
from collections.abc import Callable, Sequence
from typing import Any

import structlog

from marjoramtide.checked import MalformedError
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import Fingerprinter, NotRunError, Request, RequestBody
from marjoramtide.membership import Directory, Member, member_key
from marjoramtide.policy import (
    CompletedRequests,
    HoldRule,
    Quarantine,
    RunVerdict,
    ServerCrash,
    Suspect,
    SuspectReport,
)
from marjoramtide.quarantine._news_codec import unpack_suspect_reports
from marjoramtide.quarantine._news_spreader import Publish, ReportDisseminator
from marjoramtide.serving import InFlightRequest, RequestGuard
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

STEP = "quarantine"


class QuarantineService(RequestGuard):
    """Refuses requests that end backend servers, at all nodes of a service alike.

    The node beside a server knows what ran there when it ended, and tells the other nodes of its
    service. Each decides by itself, from what it has heard; nothing is agreed on, and no node is
    asked before a request is run.

    ``held_listener`` is told each request that is held back from now on, so that none waits for a
    server in vain.
    """

    def __init__(
        self,
        policy: Quarantine,
        fingerprinter: Fingerprinter,
        disseminator: ReportDisseminator,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.policy = policy
        self.fingerprinter = fingerprinter
        self.disseminator = disseminator
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.held_listener: Callable[[int], None] = lambda fingerprint: None
        self.end = rng.getrandbits(64)
        self.has_ended = False
        self.completed_here = CompletedRequests()

    def configure(self, settings: RouteSettings) -> None:
        """Go on by these settings of the own service."""
        self.policy.rule = HoldRule(settings.quarantine_after, settings.quarantine_s)

    async def run(self) -> None:
        """Tell again what others may have missed, until cancelled."""
        await self.disseminator.run()

    # The guard of the own backend server

    def fingerprint(self, request: Request, body: RequestBody) -> int:
        return self.fingerprinter.of(request, body)

    def check(self, request: Request, fingerprint: int) -> None:
        suspect = self.policy.find(fingerprint)
        if suspect is not None:
            wait_s = self.policy.wait_s(suspect, self.clock.monotonic())
            if wait_s > 0:
                self._refuse(request, suspect, wait_s)

    def begin(self, request: Request, fingerprint: int) -> None:
        judgement = self.policy.decide(fingerprint, self.clock.monotonic())
        if judgement.verdict is RunVerdict.RUN:
            return
        suspect = self.policy.find(fingerprint)
        assert suspect is not None
        if judgement.verdict is RunVerdict.HOLD:
            self._refuse(request, suspect, judgement.wait_s)
        self.metrics.count("quarantine.trials")
        log.warning("quarantine.trial", step=STEP, **describe(suspect))
        self.disseminator.tell_at_once([suspect])

    def is_known_safe(self, fingerprint: int) -> bool:
        """Tell whether the backend server has completed a request lately, and nothing blames it."""
        return fingerprint in self.completed_here and self.policy.find(fingerprint) is None

    def completed(self, fingerprint: int) -> None:
        if self.has_ended:
            self.server_replaced()
        self.completed_here.add(fingerprint)
        if self.policy.find(fingerprint) is not None:
            self.clear(fingerprint, "completed")

    def server_ended(self, suspects: Sequence[InFlightRequest]) -> None:
        """Suspect what ran there, but for what the server has completed before."""
        now = self.clock.monotonic()
        self._count_servers()
        self.has_ended = True
        # The same request may run there several times at once.
        different = {run.fingerprint: run for run in suspects}.values()
        excuse = self.completed_here.excuse
        blamed = [run for run in different if not excuse(run.fingerprint, self.end)]
        self.disseminator.tell_at_once([self._blame(run, self.end, now) for run in blamed])

    def server_replaced(self) -> None:
        """Draw the number of the next end, which is of another start."""
        self.end = self.rng.getrandbits(64)
        self.has_ended = False

    def _blame(self, run: InFlightRequest, end: int, now: float) -> Suspect:
        return self._take(blamed_for(run, end, now), now, run.label)

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

    # What nodes find out and tell each other

    def node_crashed(self, member: Member, suspects: Sequence[InFlightRequest]) -> None:
        """Suspect what was lost with a node that has ended; those of its service are told.

        Its runs are known to the nodes that had sent them there, and to its witness. Each tells its
        part of the same end, by the same number.
        """
        now = self.clock.monotonic()
        service, end = member.service, member_key(member.node)
        different = {run.fingerprint: run for run in suspects}.values()
        if service == self.disseminator.directory.self_member.service:
            self._count_servers()
            for run in different:
                self._blame(run, end, now)
        self.disseminator.tell_beside(service, [blamed_for(run, end, now) for run in different])

    def handle_bulletin(self, member: Member, fields: list[Any]) -> None:
        """Take in the news of another node."""
        try:
            heard = unpack_suspect_reports(fields)
        except MalformedError as error:
            self.metrics.count("quarantine.malformed")
            log.warning(
                "quarantine.malformed",
                code=ErrorCode.BAD_FRAME,
                step=STEP,
                peer=member.node,
                reason=str(error),
            )
            return
        if not heard:
            self.disseminator.answer(member)
            return
        now = self.clock.monotonic()
        self._count_servers()
        for suspicion in heard:
            self._take(suspicion, now)
        self.disseminator.note_synced()

    def member_changed(self, member: Member) -> None:
        """Take note of a member that this node has just met."""
        self.disseminator.member_met(member)

    def _count_servers(self) -> None:
        self.policy.server_count = 1 + len(self.disseminator.mates())

    def _take(self, heard: SuspectReport, now: float, label: str = "") -> Suspect:
        was_guilty = self._is_guilty(heard.fingerprint)
        suspect, is_new = self.policy.merge(heard, now)
        suspect.label = suspect.label or label
        is_restricted = self.policy.is_restricted(suspect)
        if is_new and is_restricted:
            self.held_listener(heard.fingerprint)
            self.disseminator.keep_telling()
        if is_restricted and not was_guilty:
            self.metrics.count("quarantine.verdicts")
            wait_s = round(self.policy.wait_s(suspect, now), 1)
            log.warning("quarantine.held", step=STEP, wait_s=wait_s, **describe(suspect))
        elif was_guilty and not is_restricted:
            self._note_release(suspect, "another-node")
        return suspect

    def _is_guilty(self, fingerprint: int) -> bool:
        suspect = self.policy.find(fingerprint)
        return suspect is not None and self.policy.is_restricted(suspect)

    def clear(self, fingerprint: int, by: str) -> bool:
        """Clear a request of what it is suspected of; return whether there was anything."""
        was_guilty = self._is_guilty(fingerprint)
        suspect = self.policy.clear(fingerprint)
        if suspect is None:
            return False
        if was_guilty:
            self._note_release(suspect, by)
            self.disseminator.tell_at_once([suspect])
        else:
            self.disseminator.tell_soon(fingerprint)
        return True

    def _note_release(self, suspect: Suspect, by: str) -> None:
        self.metrics.count("quarantine.released")
        log.warning("quarantine.released", step=STEP, by=by, **describe(suspect))

    # What operators see and do

    def list_held(self) -> list[dict[str, Any]]:
        """Return what is held back, as plain values."""
        now = self.clock.monotonic()
        return [
            describe(suspect)
            | {
                "wait_s": round(self.policy.wait_s(suspect, now), 1),
                "refused": suspect.refused,
            }
            for suspect in self.policy.restricted()
        ]

    def release(self, fingerprint: int) -> None:
        """Let a request run again, on an operator's word; raises ``not-found``."""
        if not self.clear(fingerprint, "operator"):
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"{fingerprint:016x} is not suspected of anything here",
                step="quarantine.release",
            )


def blamed_for(run: InFlightRequest, end: int, now: float) -> SuspectReport:
    """Return the suspicion that a server has ended just now by one of its runs."""
    return SuspectReport(run.fingerprint, (ServerCrash(end, ran_s=now - run.started_at),))


def describe(suspect: Suspect) -> dict[str, Any]:
    """Return a suspect as the log and operators name it."""
    return {
        "fingerprint": f"{suspect.fingerprint:016x}",
        "what": suspect.label,
        "ends": suspect.crash_count,
    }


def make_quarantine_service(
    key: str,
    directory: Directory,
    publish: Publish,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> QuarantineService:
    """Return the quarantine of a node whose fleet has this key; nothing is suspected yet."""
    policy = Quarantine()
    disseminator = ReportDisseminator(policy, directory, publish, clock, rng)
    return QuarantineService(policy, Fingerprinter(key), disseminator, clock, rng, metrics)
