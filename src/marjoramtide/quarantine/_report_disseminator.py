"""Dissemination of reports of suspects to other nodes."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from marjoramtide.clock import Clock
from marjoramtide.membership import Directory, Member
from marjoramtide.policy import Quarantine, Suspect, SuspectReport
from marjoramtide.quarantine._report_batch import ReportBatch
from marjoramtide.quarantine._report_codec import pack_state_request, pack_suspect_reports

# The interval of rounds in which reports are repeated, while there are any.
ROUND_S = 0.25
# How many rounds repeat a crash to all nodes. If one datagram in thirty is lost, one node in 27,000
# misses all three.
REPEAT_ROUNDS = 2
# How long reports of requests cleared of one crash are collected. After the loss of half of 195
# nodes, each of the others completes a dozen such requests within a second.
CLEARED_BATCH_S = 0.2
# How long requests lost with crashed nodes are collected after the first. Many nodes may crash at
# once, and each other node had requests at several of them. With eight requests at each, the loss
# of 117 of 195 nodes would take 160,000 datagrams if each loss were sent and repeated by itself;
# collected it takes 34,000.
NODE_CRASH_BATCH_S = 0.02
# Held requests in the bulletin to one random node, and the share of the rounds that send one. Nodes
# that have started, were partitioned or were frozen learn of them from any other node, on average
# half a second later, for 200 bytes a second per node.
RANDOM_ROUND_SUSPECTS = 20
RANDOM_ROUND_SHARE = 0.5

# When a started node requests the held requests from others of its service, in seconds after it
# knows the first of them. A node that does not know the requester yet can't respond.
STATE_REQUEST_DELAYS_S = (0.0, 0.1, 0.3, 1.0)
STATE_REQUEST_FANOUT = 2
# How long a started node waits for the response after it knows another node: a round trip and one
# repeated request. A node of the previous version does not respond.
STATE_RESPONSE_TIMEOUT_S = 0.15
# How long a started node that learns of no other node waits. Others become known within 0.03 to
# 0.16 s; after a loss of all nodes there are none to learn of, and callers wait for this node.
FIRST_MEMBER_TIMEOUT_S = 0.2
# The response if nothing is held back.
EMPTY_REPORT = SuspectReport(0)

Publish = Callable[[list[Any], Iterable[Member]], None]


class ReportDisseminator:
    """Sends reports of suspects to the other nodes beside servers of the same service.

    Only these nodes pass requests to such servers. ``publish`` sends one bulletin, which may be
    lost. Reports of crashes are sent at once and repeated; all else reaches nodes that missed it in
    random rounds.
    """

    def __init__(
        self,
        policy: Quarantine,
        directory: Directory,
        publish: Publish,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.policy = policy
        self.directory = directory
        self.publish = publish
        self.clock = clock
        self.rng = rng
        # The rounds in which a suspect is still repeated to all, by fingerprint.
        self.repeats_left: dict[int, int] = {}
        self.cleared: dict[int, None] = {}
        # Requests lost with crashed nodes, by the service of the nodes.
        self.batches: dict[str, ReportBatch] = {}
        self.cleared_timer: asyncio.TimerHandle | None = None
        self.work_available = asyncio.Event()
        self.has_met_member = False
        self.has_requested_state = False
        self.is_synced = False
        self.synced_listener: Callable[[], None] = lambda: None

    def broadcast(self, suspects: Sequence[Suspect]) -> None:
        """Send suspects to all nodes of the service now and in the next rounds."""
        if suspects:
            self._send_suspects(suspects, self.service_members())
            self.repeats_left.update(
                dict.fromkeys((each.fingerprint for each in suspects), REPEAT_ROUNDS)
            )
            self.work_available.set()

    def schedule_cleared(self, fingerprint: int) -> None:
        """Send a request cleared of its only crash to all nodes of the service, with others.

        No node holds it back, but after one more crash they would. Requests that were lost with one
        server are completed by others at about the same time, so one bulletin contains several.
        """
        self.cleared[fingerprint] = None
        if self.cleared_timer is None:
            self.cleared_timer = asyncio.get_running_loop().call_later(
                CLEARED_BATCH_S, self._broadcast_cleared
            )

    def broadcast_to_service(self, service: str, reports: Sequence[SuspectReport]) -> None:
        """Send reports to the nodes of a service: at once, or in a batch shortly after others."""
        batch = self.batches.get(service)
        if batch is not None:
            batch.add(reports, self.clock.monotonic())
            return
        self._publish_reports(reports, self._members_of(service))
        batch = self.batches[service] = ReportBatch()
        loop = asyncio.get_running_loop()
        loop.call_later(NODE_CRASH_BATCH_S, self._broadcast_batch, service)
        new_batch = ReportBatch()
        new_batch.add(reports, self.clock.monotonic())
        loop.call_later(ROUND_S, self._rebroadcast, service, new_batch, batch)

    def member_met(self, member: Member) -> None:
        """Request the held requests, once the first other node of the service is known.

        Failure: a node restarts, serves its callers at once, and learns only from the random
        rounds, half a second later on average, which of their requests crash it.
        """
        own = self.directory.self_member
        if member.node == own.node:
            return
        loop = asyncio.get_running_loop()
        if not self.has_met_member:
            self.has_met_member = True
            loop.call_later(STATE_RESPONSE_TIMEOUT_S, self.note_synced)
        if not self.has_requested_state and member.service == own.service:
            self.has_requested_state = True
            self._request_state()
            for delay_s in STATE_REQUEST_DELAYS_S[1:]:
                loop.call_later(delay_s, self._request_state)

    def note_synced(self) -> None:
        """Record that other nodes have sent the held requests, or have had the time to."""
        if not self.is_synced:
            self.is_synced = True
            self.synced_listener()

    def send_state(self, requester: Member) -> None:
        """Send the held requests to one node, or an empty report if there are none."""
        now = self.clock.monotonic()
        held = [suspect.to_report(now) for suspect in self.policy.restricted()]
        self._publish_reports(held or [EMPTY_REPORT], [requester])

    def _request_state(self) -> None:
        members = self.service_members()
        chosen = self.rng.sample(members, min(len(members), STATE_REQUEST_FANOUT))
        self.publish(pack_state_request(), chosen)

    def resume_rounds(self) -> None:
        """Resume the rounds: some nodes may not know yet what this node has just received."""
        self.work_available.set()

    async def run(self) -> None:
        """Run rounds while there is something to send, until cancelled."""
        asyncio.get_running_loop().call_later(FIRST_MEMBER_TIMEOUT_S, self.note_synced)
        while True:
            await self.work_available.wait()
            await self.clock.sleep(ROUND_S)
            self.run_round()

    def run_round(self) -> None:
        """Repeat recent reports to all nodes, and send held requests to one random node."""
        members = self.service_members()
        self._send_suspects(self._find_suspects(self.repeats_left), members)
        self.repeats_left = {each: left - 1 for each, left in self.repeats_left.items() if left > 1}
        restricted = self.policy.restricted()
        if restricted and members and self.rng.random() < RANDOM_ROUND_SHARE:
            chosen = self.rng.sample(restricted, min(len(restricted), RANDOM_ROUND_SUSPECTS))
            self._send_suspects(chosen, [self.rng.choice(members)])
        if not self.repeats_left and not restricted:
            self.work_available.clear()

    def _broadcast_batch(self, service: str) -> None:
        batch = self.batches.pop(service)
        self._publish_reports(batch.aged_reports(self.clock.monotonic()), self._members_of(service))

    def _rebroadcast(self, service: str, *batches: ReportBatch) -> None:
        now = self.clock.monotonic()
        reports = itertools.chain.from_iterable(each.aged_reports(now) for each in batches)
        self._publish_reports(reports, self._members_of(service))

    def _broadcast_cleared(self) -> None:
        self.cleared_timer = None
        cleared, self.cleared = self.cleared, {}
        self._send_suspects(self._find_suspects(cleared), self.service_members())

    def _find_suspects(self, fingerprints: Iterable[int]) -> list[Suspect]:
        found = map(self.policy.find, fingerprints)
        return [suspect for suspect in found if suspect is not None]

    def _send_suspects(self, suspects: Iterable[Suspect], recipients: Sequence[Member]) -> None:
        now = self.clock.monotonic()
        self._publish_reports((suspect.to_report(now) for suspect in suspects), recipients)

    def _publish_reports(
        self, reports: Iterable[SuspectReport], recipients: Sequence[Member]
    ) -> None:
        for fields in pack_suspect_reports(reports):
            self.publish(fields, recipients)

    def service_members(self) -> list[Member]:
        """Return the other members beside servers of the own service, in any state."""
        return self._members_of(self.directory.self_member.service)

    def _members_of(self, service: str) -> list[Member]:
        own = self.directory.self_member
        return [
            member
            for member in self.directory.members()
            if member.service == service and member.node != own.node
        ]
