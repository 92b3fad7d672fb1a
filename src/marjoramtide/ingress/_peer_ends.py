"""Requests that were lost with the node that was to serve them."""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import Request, RequestBody
from marjoramtide.membership import Member, MemberState
from marjoramtide.peers import PeerClient
from marjoramtide.serving import Run
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

# For how long the failure of a request may be held back until it is known whether the other node
# has ended, in seconds. A connection is refused within a round trip, 2 ms between data centres; one
# that hangs is to a host without power, and the request is tried elsewhere so much later.
LOOK_TIMEOUT_S = 0.02

Fingerprint = Callable[[Request, RequestBody], int]
Report = Callable[[str, Sequence[Run]], None]


class PeerEnds:
    """Finds out whether a node has ended, and reports what this one had sent there.

    Failure: a request ends the node that serves it. That node tells nobody what it served, so the
    request is sent to the next one, and callers send it again: 34 ends in 12 s among six nodes.
    Those that had sent it there know. A node whose address refuses connections has ended, and its
    host has not; one that leaves as planned, or can't be reached, is put down to nobody.
    """

    def __init__(
        self,
        peers: PeerClient,
        clock: Clock,
        metrics: Metrics,
        fingerprint: Fingerprint,
        report: Report,
    ) -> None:
        """``report`` is told the service of a node that has ended, and what was lost with it."""
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.fingerprint = fingerprint
        self.report = report
        self.lost: dict[str, list[Run]] = {}
        self.looking: dict[str, asyncio.Task[None]] = {}

    async def note_lost(
        self, member: Member, request: Request, body: RequestBody, started: float
    ) -> None:
        """Take a request whose connection broke; return once it is known whether its node ended.

        The news of an end is then on its way before the request is sent to another node.
        """
        if member.state in (MemberState.LEAVING, MemberState.DEAD):
            return
        fingerprint = self.fingerprint(request, body)
        run = Run(fingerprint, request.request_id, request.label, started)
        self.lost.setdefault(member.node, []).append(run)
        task = self.looking.get(member.node)
        if task is None:
            task = self.looking[member.node] = asyncio.create_task(self.look(member))
        await asyncio.shield(task)

    async def look(self, member: Member) -> None:
        """Connect to a node again; report what was lost with it where nobody listens there."""
        is_gone = await self.peers.is_gone(member.peer_address, LOOK_TIMEOUT_S)
        del self.looking[member.node]
        runs = self.lost.pop(member.node)
        if not is_gone:
            return
        self.metrics.count("ingress.node_ends")
        log.warning(
            "ingress.node_ended",
            code=ErrorCode.PEER_LOST,
            step="ingress.ends",
            peer=member.node,
            service=member.service,
            runs=[run.told(self.clock.monotonic()) for run in runs],
        )
        self.report(member.service, runs)
