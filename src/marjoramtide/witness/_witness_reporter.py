"""Reports this node's requests in flight to another node."""

import asyncio
import random
from collections.abc import Callable

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import MarjoramtideError
from marjoramtide.membership import Directory, Member, MemberState
from marjoramtide.peers import InFlightLink, PeerClient
from marjoramtide.serving import InFlightReporter
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

# How long finished requests are collected if no other request starts. Until the witness gets the
# report, a finished request still counts as one that may crash its node.
BATCH_S = 0.1
# The first and the longest pause between attempts to connect to a witness.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0


class WitnessReporter(InFlightReporter):
    """Reports the requests of this node's own callers to one other node, its witness.

    Requests sent by another node are known to that node. Of the others, only those that
    ``is_known_safe`` is false for are reported, before they start: if one of them crashes this
    process, the witness sees the connection break and reports the crash. The witness is in the same
    data centre if possible, and is replaced when its connection is closed. A node without other
    nodes has no witness, and serves requests nevertheless.
    """

    def __init__(
        self,
        directory: Directory,
        peers: PeerClient,
        is_known_safe: Callable[[int], bool],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.directory = directory
        self.peers = peers
        self.is_known_safe = is_known_safe
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.in_flight: dict[int, int] = {}
        self.finished: list[int] = []
        self.link: InFlightLink | None = None
        self.last_witness = ""
        self.report_timer: asyncio.TimerHandle | None = None

    async def request_started(self, ticket: int, fingerprint: int) -> None:
        if self.is_known_safe(fingerprint):
            return
        self.in_flight[ticket] = fingerprint
        if self.link is None or self.link.is_stuck:
            self.metrics.count("witness.untold")
            return
        self.metrics.count("witness.told")
        await self.link.report({ticket: fingerprint}, self._take_finished())

    def request_finished(self, ticket: int) -> None:
        if self.in_flight.pop(ticket, None) is None or self.link is None:
            return
        self.finished.append(ticket)
        if self.report_timer is None:
            self.report_timer = asyncio.get_running_loop().call_later(
                BATCH_S, self._report_finished
            )

    async def run(self) -> None:
        """Stay connected to a witness, until cancelled."""
        retry_s = MIN_RETRY_S
        while True:
            member = self._choose_witness()
            if member is not None and await self._report_to(member):
                retry_s = MIN_RETRY_S
                continue
            await self.clock.sleep(retry_s)
            retry_s = min(MAX_RETRY_S, retry_s * 2)

    async def _report_to(self, member: Member) -> bool:
        """Report all requests in flight to one witness, until its connection is closed.

        Returns whether the connection could be opened.
        """
        self.last_witness = member.node
        try:
            link = await self.peers.open_in_flight_link(
                member.peer_address, self.directory.self_member.node
            )
        except MarjoramtideError as error:
            log.info(
                "witness.not_reached",
                code=error.code,
                step=error.step,
                peer=member.node,
                reason=error.message,
            )
            return False
        self.link = link
        self.finished.clear()
        try:
            await link.report(self.in_flight, ())
            await link.wait_closed()
        finally:
            self._discard_link()
            await link.close()
        return True

    def _choose_witness(self) -> Member | None:
        own = self.directory.self_member
        others = [
            member
            for member in self.directory.members()
            if member.node != own.node and member.state is not MemberState.LEAVING
        ]
        local = [member for member in others if member.data_centre == own.data_centre]
        candidates = local or others
        # The last witness may have crashed, and the other nodes may not have detected it yet.
        candidates = [
            member for member in candidates if member.node != self.last_witness
        ] or candidates
        return self.rng.choice(candidates) if candidates else None

    def _report_finished(self) -> None:
        self.report_timer = None
        if self.finished and self.link is not None and not self.link.is_stuck:
            self.link.report_later(self._take_finished())

    def _take_finished(self) -> list[int]:
        finished, self.finished = self.finished, []
        return finished

    def _discard_link(self) -> None:
        self.link = None
        if self.report_timer is not None:
            self.report_timer.cancel()
            self.report_timer = None
