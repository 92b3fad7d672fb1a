"""Requests that were lost with the node that was to serve them."""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import Request, RequestBody
from marjoramtide.membership import Member, MemberState
from marjoramtide.peers import PeerClient, PeerSign
from marjoramtide.serving import InFlightRequest
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

# For how long the failure of a request may be held back until it is known whether the other node
# has ended, in seconds. A connection is refused within a round trip, 2 ms between data centres; one
# that hangs is to a host without power, and the request is tried elsewhere so much later.
LOOK_TIMEOUT_S = 0.02
# When a node is looked at again that neither answers nor refuses, in seconds after the look before.
# A process that takes long to end goes on taking connections. Shorter in all than a host is without
# power: one that is back refuses connections until its node is up, and nothing ended by a request.
LOOKS_AGAIN_S = (0.05, 0.1, 0.2)

Fingerprint = Callable[[Request, RequestBody], int]
Report = Callable[[Member, Sequence[InFlightRequest]], None]


class PeerEnds:
    """Finds out whether a node has ended, and reports what is known to have run there.

    Failure: a request ends the node that serves it. That node tells nobody what it served, so the
    request is sent to the next one, and callers send it again: 34 ends in 12 s among six nodes.
    Those that had sent it there know, and the witness of what the node ran for its own callers. A
    node whose address refuses connections has ended, and its host has not; one that leaves as
    planned, or can't be reached, is put down to nobody.
    """

    def __init__(
        self,
        peers: PeerClient,
        clock: Clock,
        metrics: Metrics,
        fingerprint: Fingerprint,
        report: Report,
    ) -> None:
        """``report`` is told of a node that has ended, and of what was lost with it."""
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.fingerprint = fingerprint
        self.report = report
        self.lost: dict[str, list[InFlightRequest]] = {}
        self.looking: dict[str, asyncio.Task[None]] = {}
        self.later: set[asyncio.Task[None]] = set()

    async def note_lost(
        self, member: Member, request: Request, body: RequestBody, started: float
    ) -> None:
        """Take a request whose connection broke; return once it is known whether its node ended.

        The news of an end is then on its way before the request is sent to another node. Where the
        node neither answers nor refuses, this returns before.
        """
        fingerprint = self.fingerprint(request, body)
        run = InFlightRequest(fingerprint, request.request_id, request.label, started)
        self.note(member, [run])
        task = self.looking.get(member.node)
        if task is not None:
            await asyncio.shield(task)

    def note(self, member: Member, runs: Sequence[InFlightRequest]) -> None:
        """Take what ran at a node whose connection broke, and look whether that node has ended."""
        if member.state in (MemberState.LEAVING, MemberState.DEAD):
            return
        self.lost.setdefault(member.node, []).extend(runs)
        if member.node not in self.looking:
            self.looking[member.node] = asyncio.create_task(self.look(member))

    async def look(self, member: Member) -> None:
        """Look at a node once, and again later where that tells nothing."""
        sign = await self.peers.look(member.peer_address, LOOK_TIMEOUT_S)
        del self.looking[member.node]
        runs = self.lost.pop(member.node)
        if sign is PeerSign.UNKNOWN:
            task = asyncio.create_task(self.look_again(member, runs))
            self.later.add(task)
            task.add_done_callback(self.later.discard)
        self.conclude(member, runs, sign)

    async def look_again(self, member: Member, runs: Sequence[InFlightRequest]) -> None:
        """Look at a node until it answers or refuses, for some tenths of a second."""
        for pause_s in LOOKS_AGAIN_S:
            await self.clock.sleep(pause_s)
            sign = await self.peers.look(member.peer_address, pause_s)
            if sign is not PeerSign.UNKNOWN:
                self.conclude(member, runs, sign)
                return

    def conclude(self, member: Member, runs: Sequence[InFlightRequest], sign: PeerSign) -> None:
        """Report what was lost with a node, where that has ended."""
        if sign is not PeerSign.GONE:
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
