"""The service of a node that holds back requests that crash backend servers."""

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
from marjoramtide.quarantine._report_codec import unpack_suspect_reports
from marjoramtide.quarantine._report_disseminator import Publish, ReportDisseminator
from marjoramtide.serving import InFlightRequest, RequestGuard
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

STEP = "quarantine"


class QuarantineService(RequestGuard):
    """Rejects requests that crash backend servers, alike on all nodes of a service.

    The node beside a server knows which requests ran there when it crashed, and reports them to the
    other nodes of its service. Each node decides by itself from the reports it has; there is no
    agreement, and no node is asked before a request runs.

    ``held_listener`` is called with each request that becomes held back, so that none waits for a
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
        self.crash_number = rng.getrandbits(64)
        self.has_crashed = False
        self.completed_requests = CompletedRequests()

    def configure(self, settings: RouteSettings) -> None:
        """Apply these settings of the own service."""
        self.policy.rule = HoldRule(settings.quarantine_after, settings.quarantine_s)

    async def run(self) -> None:
        """Repeat reports that other nodes may have missed, until cancelled."""
        await self.disseminator.run()

    # RequestGuard of the own backend server

    def fingerprint(self, request: Request, body: RequestBody) -> int:
        return self.fingerprinter.of(request, body)

    def check(self, request: Request, fingerprint: int) -> None:
        suspect = self.policy.find(fingerprint)
        if suspect is not None:
            wait_s = self.policy.wait_s(suspect, self.clock.monotonic())
            if wait_s > 0:
                self._refuse(request, suspect, wait_s)

    def begin(self, request: Request, fingerprint: int) -> None:
        decision = self.policy.decide(fingerprint, self.clock.monotonic())
        if decision.verdict is RunVerdict.RUN:
            return
        suspect = self.policy.find(fingerprint)
        assert suspect is not None
        if decision.verdict is RunVerdict.HOLD:
            self._refuse(request, suspect, decision.wait_s)
        self.metrics.count("quarantine.trials")
        log.warning("quarantine.trial", step=STEP, **describe_suspect(suspect))
        self.disseminator.broadcast([suspect])

    def is_known_safe(self, fingerprint: int) -> bool:
        """Tell whether the server has completed a request recently and it is not a suspect."""
        return fingerprint in self.completed_requests and self.policy.find(fingerprint) is None

    def completed(self, fingerprint: int) -> None:
        if self.has_crashed:
            self.server_replaced()
        self.completed_requests.add(fingerprint)
        if self.policy.find(fingerprint) is not None:
            self.clear(fingerprint, "completed")

    def server_crashed(self, suspects: Sequence[InFlightRequest]) -> None:
        """Suspect the requests that ran there, except those it has completed before."""
        now = self.clock.monotonic()
        self._count_servers()
        self.has_crashed = True
        # Several runs of the same request may have been in flight.
        distinct_runs = {run.fingerprint: run for run in suspects}.values()
        excuse = self.completed_requests.excuse
        blamed = [run for run in distinct_runs if not excuse(run.fingerprint, self.crash_number)]
        self.disseminator.broadcast(
            [self._suspect_run(run, self.crash_number, now) for run in blamed]
        )

    def server_replaced(self) -> None:
        """Generate the number of the next crash, which is of another incarnation of the server."""
        self.crash_number = self.rng.getrandbits(64)
        self.has_crashed = False

    def _suspect_run(self, run: InFlightRequest, crash_number: int, now: float) -> Suspect:
        return self._merge_report(make_suspect_report(run, crash_number, now), now, run.label)

    def _refuse(self, request: Request, suspect: Suspect, wait_s: float) -> None:
        suspect.refused += 1
        suspect.label = suspect.label or request.label
        self.metrics.count("quarantine.refused")
        raise NotRunError(
            ErrorCode.QUARANTINED,
            "backend servers crashed while they ran this request",
            step=STEP,
            retry_after_ms=math.ceil(wait_s * 1000),
        )

    # Reports of this and other nodes

    def node_crashed(self, member: Member, suspects: Sequence[InFlightRequest]) -> None:
        """Suspect the requests lost with a crashed node, and report them to its service.

        The nodes that had sent requests there and the node's witness each know a part of its
        requests in flight. They report the same crash by the same number.
        """
        now = self.clock.monotonic()
        service, crash_number = member.service, member_key(member.node)
        distinct_runs = {run.fingerprint: run for run in suspects}.values()
        if service == self.disseminator.directory.self_member.service:
            self._count_servers()
            for run in distinct_runs:
                self._suspect_run(run, crash_number, now)
        self.disseminator.broadcast_to_service(
            service, [make_suspect_report(run, crash_number, now) for run in distinct_runs]
        )

    def handle_bulletin(self, member: Member, fields: list[Any]) -> None:
        """Handle a quarantine bulletin of another node."""
        try:
            reports = unpack_suspect_reports(fields)
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
        if not reports:
            self.disseminator.send_state(member)
            return
        now = self.clock.monotonic()
        self._count_servers()
        for report in reports:
            self._merge_report(report, now)
        self.disseminator.note_synced()

    def member_changed(self, member: Member) -> None:
        """Handle a member that has become known."""
        self.disseminator.member_met(member)

    def _count_servers(self) -> None:
        self.policy.server_count = 1 + len(self.disseminator.service_members())

    def _merge_report(self, report: SuspectReport, now: float, label: str = "") -> Suspect:
        was_restricted = self._is_restricted(report.fingerprint)
        suspect, is_new = self.policy.merge(report, now)
        suspect.label = suspect.label or label
        is_restricted = self.policy.is_restricted(suspect)
        if is_new and is_restricted:
            self.held_listener(report.fingerprint)
            self.disseminator.resume_rounds()
        if is_restricted and not was_restricted:
            self.metrics.count("quarantine.verdicts")
            wait_s = round(self.policy.wait_s(suspect, now), 1)
            log.warning("quarantine.held", step=STEP, wait_s=wait_s, **describe_suspect(suspect))
        elif was_restricted and not is_restricted:
            self._log_release(suspect, "another-node")
        return suspect

    def _is_restricted(self, fingerprint: int) -> bool:
        suspect = self.policy.find(fingerprint)
        return suspect is not None and self.policy.is_restricted(suspect)

    def clear(self, fingerprint: int, by: str) -> bool:
        """Clear a request of all suspicion; return whether there was any."""
        was_restricted = self._is_restricted(fingerprint)
        suspect = self.policy.clear(fingerprint)
        if suspect is None:
            return False
        if was_restricted:
            self._log_release(suspect, by)
            self.disseminator.broadcast([suspect])
        else:
            self.disseminator.schedule_cleared(fingerprint)
        return True

    def _log_release(self, suspect: Suspect, by: str) -> None:
        self.metrics.count("quarantine.released")
        log.warning("quarantine.released", step=STEP, by=by, **describe_suspect(suspect))

    # Operator commands

    def list_held(self) -> list[dict[str, Any]]:
        """Return the held requests as plain values."""
        now = self.clock.monotonic()
        return [
            describe_suspect(suspect)
            | {
                "wait_s": round(self.policy.wait_s(suspect, now), 1),
                "refused": suspect.refused,
            }
            for suspect in self.policy.restricted()
        ]

    def release(self, fingerprint: int) -> None:
        """Release a request on an operator's command; raises ``not-found``."""
        if not self.clear(fingerprint, "operator"):
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"{fingerprint:016x} is not a suspect at this node",
                step="quarantine.release",
            )


def make_suspect_report(run: InFlightRequest, crash_number: int, now: float) -> SuspectReport:
    """Return the report of a server that has crashed just now while it ran a request."""
    return SuspectReport(run.fingerprint, (ServerCrash(crash_number, ran_s=now - run.started_at),))


def describe_suspect(suspect: Suspect) -> dict[str, Any]:
    """Return a suspect's fields for the log and for operators."""
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
    """Return the quarantine service of a node, without suspects.

    ``key`` is the key of the fleet.
    """
    policy = Quarantine()
    disseminator = ReportDisseminator(policy, directory, publish, clock, rng)
    return QuarantineService(policy, Fingerprinter(key), disseminator, clock, rng, metrics)
