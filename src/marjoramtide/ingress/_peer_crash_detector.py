"""Detection of nodes that crashed with requests they were sent."""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import Request, RequestBody
from marjoramtide.membership import Member, MemberState
from marjoramtide.peers import PeerClient, PeerProbeResult
from marjoramtide.serving import InFlightRequest
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

# How long a failed request may be delayed until it is known whether its node crashed. A connection
# is refused within a round trip, which is 2 ms between data centres. One that hangs is to a host
# without power, and the retry at another node is delayed by this much.
PROBE_TIMEOUT_S = 0.02
# Pauses before further probes of a node that neither accepted nor refused the first one: a process
# that takes long to exit goes on accepting connections. In total they must be shorter than the
# power loss of a host: after it, the host refuses connections until its node is up, although no
# request crashed that node.
PROBE_PAUSES_S = (0.05, 0.1, 0.2)

Fingerprint = Callable[[Request, RequestBody], int]
Report = Callable[[Member, Sequence[InFlightRequest]], None]


class PeerCrashDetector:
    """Finds out whether a node has crashed, and reports the requests known to have run there.

    Failure: a request crashes the node that serves it. That node can't report what it ran, so the
    request is sent to the next node, and callers retry it: 34 crashes in 12 s among six nodes. The
    nodes that had sent the request know of it, and so does the witness of what the node ran for its
    own callers. If a node's address refuses connections, the node has crashed but its host has not.
    For a node that leaves as planned, or that can't be reached, no request is blamed.
    """

    def __init__(
        self,
        peers: PeerClient,
        clock: Clock,
        metrics: Metrics,
        fingerprint: Fingerprint,
        report: Report,
    ) -> None:
        """Initialize the detector; ``report`` is called with a crashed node and its lost runs."""
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.fingerprint = fingerprint
        self.report = report
        self.lost: dict[str, list[InFlightRequest]] = {}
        self.probes: dict[str, asyncio.Task[None]] = {}
        self.later: set[asyncio.Task[None]] = set()

    async def report_lost_request(
        self, member: Member, request: Request, body: RequestBody, started: float
    ) -> None:
        """Report a request whose connection broke; return once it is known if its node crashed.

        The crash is thus reported before the request is sent to another node. If the node neither
        accepts nor refuses connections, this returns without knowing.
        """
        fingerprint = self.fingerprint(request, body)
        run = InFlightRequest(fingerprint, request.request_id, request.label, started)
        self.report_lost_runs(member, [run])
        task = self.probes.get(member.node)
        if task is not None:
            await asyncio.shield(task)

    def report_lost_runs(self, member: Member, runs: Sequence[InFlightRequest]) -> None:
        """Report the runs at a node whose connection broke, and check whether it has crashed."""
        if member.state in (MemberState.LEAVING, MemberState.DEAD):
            return
        self.lost.setdefault(member.node, []).extend(runs)
        if member.node not in self.probes:
            self.probes[member.node] = asyncio.create_task(self.probe(member))

    async def probe(self, member: Member) -> None:
        """Probe a node once, and again later if the result is unknown."""
        sign = await self.peers.probe(member.peer_address, PROBE_TIMEOUT_S)
        del self.probes[member.node]
        runs = self.lost.pop(member.node)
        if sign is PeerProbeResult.UNKNOWN:
            task = asyncio.create_task(self.probe_again(member, runs))
            self.later.add(task)
            task.add_done_callback(self.later.discard)
        self.report_if_crashed(member, runs, sign)

    async def probe_again(self, member: Member, runs: Sequence[InFlightRequest]) -> None:
        """Probe a node until it accepts or refuses, for a few tenths of a second."""
        for pause_s in PROBE_PAUSES_S:
            await self.clock.sleep(pause_s)
            sign = await self.peers.probe(member.peer_address, pause_s)
            if sign is not PeerProbeResult.UNKNOWN:
                self.report_if_crashed(member, runs, sign)
                return

    def report_if_crashed(
        self, member: Member, runs: Sequence[InFlightRequest], sign: PeerProbeResult
    ) -> None:
        """Report the runs lost with a node if it has crashed."""
        if sign is not PeerProbeResult.REFUSED:
            return
        self.metrics.count("ingress.node_ends")
        log.warning(
            "ingress.node_ended",
            code=ErrorCode.PEER_LOST,
            step="ingress.ends",
            peer=member.node,
            service=member.service,
            runs=[run.log_fields(self.clock.monotonic()) for run in runs],
        )
        self.report(member, runs)
