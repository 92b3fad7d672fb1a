"""Telling another node what this one runs for its own callers."""

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

# For how long the ends of runs are gathered where no other run begins, in seconds. Until the
# witness hears of its end, a run passes for one that its node may have ended by.
GATHER_S = 0.1
# Between two attempts to find a witness, in seconds: the first pause and the longest.
PAUSE_S = 0.1
LONGEST_PAUSE_S = 5.0


class WitnessReporter(InFlightReporter):
    """Has one other node, the witness, know what this one runs for its own callers.

    Runs that were sent here by another node are known to that one. Of the others only those are
    told that ``is_sound`` does not vouch for, before they begin: should this process end by one of
    them, the witness sees its connection break and speaks for it. The witness is in the own data
    centre where one is there, and another one is chosen when its connection ends. A node that is
    alone has none, and serves all the same.
    """

    def __init__(
        self,
        directory: Directory,
        peers: PeerClient,
        is_sound: Callable[[int], bool],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.directory = directory
        self.peers = peers
        self.is_sound = is_sound
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.open: dict[int, int] = {}
        self.ended: list[int] = []
        self.link: InFlightLink | None = None
        self.last = ""
        self.timer: asyncio.TimerHandle | None = None

    async def request_started(self, ticket: int, fingerprint: int) -> None:
        if self.is_sound(fingerprint):
            return
        self.open[ticket] = fingerprint
        if self.link is None or self.link.is_stuck:
            self.metrics.count("witness.untold")
            return
        self.metrics.count("witness.told")
        await self.link.tell({ticket: fingerprint}, self._take_ended())

    def request_finished(self, ticket: int) -> None:
        if self.open.pop(ticket, None) is None or self.link is None:
            return
        self.ended.append(ticket)
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(GATHER_S, self._tell_ended)

    async def run(self) -> None:
        """Keep a witness, until cancelled."""
        pause_s = PAUSE_S
        while True:
            member = self._choose()
            if member is not None and await self._tell_through(member):
                pause_s = PAUSE_S
                continue
            await self.clock.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    async def _tell_through(self, member: Member) -> bool:
        """Tell one witness all that runs now and from now on, until its connection ends.

        Returns whether there was one.
        """
        self.last = member.node
        try:
            link = await self.peers.open_runs(member.peer_address, self.directory.self_member.node)
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
        self.ended.clear()
        try:
            await link.tell(self.open, ())
            await link.wait_closed()
        finally:
            self._forget_link()
            await link.close()
        return True

    def _choose(self) -> Member | None:
        own = self.directory.self_member
        others = [
            member
            for member in self.directory.members()
            if member.node != own.node and member.state is not MemberState.LEAVING
        ]
        near = [member for member in others if member.data_centre == own.data_centre]
        able = near or others
        # The last one may have ended, which the others have not noticed yet.
        able = [member for member in able if member.node != self.last] or able
        return self.rng.choice(able) if able else None

    def _tell_ended(self) -> None:
        self.timer = None
        if self.ended and self.link is not None and not self.link.is_stuck:
            self.link.tell_later(self._take_ended())

    def _take_ended(self) -> list[int]:
        ended, self.ended = self.ended, []
        return ended

    def _forget_link(self) -> None:
        self.link = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
