"""Dissemination of membership updates: piggybacked on probes, by gossip and on request."""

import random
from collections import defaultdict
from collections.abc import Iterable, Iterator

from marjoramtide.membership._health import Health
from marjoramtide.membership._member_entry import MemberEntry
from marjoramtide.membership._member_view import MemberView
from marjoramtide.membership._packet import AppliedSettings, PacketKind, Record, Status
from marjoramtide.membership._packet_codec import record_size, status_size
from marjoramtide.membership._packet_sender import PacketSender
from marjoramtide.membership._swim_options import SwimOptions
from marjoramtide.membership._update_queue import UpdateQueue
from marjoramtide.membership._view_filter import ViewFilter, make_filter
from marjoramtide.policy import TokenBucket

# A datagram's 1200 bytes less the MAC (16 bytes), the header and the CBOR framing.
PAYLOAD_BYTES = 940
MAX_STATUS_BYTES = 600
KEY_BYTES = 8
REVISION_GROUP_BYTES = 90
MAX_REQUESTED_KEYS = 100


class Disseminator:
    """Selects the updates for each outgoing datagram.

    A status takes 23 to 32 bytes and refers to its member by key. A node that does not know the key
    requests the full record, so each record is sent to each node once. Settings revisions are
    grouped, at 8 bytes per member, since after a change all members report the same one.
    """

    def __init__(
        self, view: MemberView, sender: PacketSender, options: SwimOptions, rng: random.Random
    ) -> None:
        self.view = view
        self.sender = sender
        self.options = options
        self.rng = rng
        self.statuses = UpdateQueue()
        self.revisions = UpdateQueue()
        self.gossip_budget = TokenBucket(options.gossip_bytes_per_s, options.gossip_burst_bytes)
        self.reply_budget = TokenBucket(options.reply_bytes_per_s, options.reply_burst_bytes)

    def is_idle(self) -> bool:
        return not self.statuses and not self.revisions

    def take_piggyback(
        self, recipient: MemberEntry | None = None
    ) -> tuple[list[Status], list[tuple[AppliedSettings, tuple[int, ...]]]]:
        """Take the updates for one datagram, the least transmitted first.

        The first update is the recipient's own state if it is suspect or dead (Lifeguard's buddy
        system), since it can refute a suspicion only once it knows of it.
        """
        statuses = []
        if recipient is not None and recipient.health is not Health.ALIVE:
            statuses.append(recipient.status(self.sender.own.key))
        statuses += self._take_statuses(MAX_STATUS_BYTES)
        free_bytes = PAYLOAD_BYTES - sum(status_size(status) for status in statuses)
        return statuses, self._take_revisions(free_bytes)

    def _take_statuses(self, free_bytes: int) -> list[Status]:
        taken = []
        for key, accuser in self.statuses.peek(free_bytes // 23):
            status = self.view.entries[key].status(accuser)
            free_bytes -= status_size(status)
            if free_bytes < 0:
                break
            taken.append(status)
        retransmit_limit = self.options.retransmit_limit(
            self.options.retransmit_factor, self.view.live_count()
        )
        self.statuses.mark_sent([status.key for status in taken], retransmit_limit)
        return taken

    def _take_revisions(self, free_bytes: int) -> list[tuple[AppliedSettings, tuple[int, ...]]]:
        groups: dict[AppliedSettings, list[int]] = defaultdict(list)
        taken = []
        for key, _ in self.revisions.peek(free_bytes // KEY_BYTES):
            settings = self.view.entries[key].settings()
            free_bytes -= KEY_BYTES + (0 if settings in groups else REVISION_GROUP_BYTES)
            if free_bytes < 0:
                break
            groups[settings].append(key)
            taken.append(key)
        retransmit_limit = self.options.retransmit_limit(
            self.options.revision_retransmit_factor, self.view.live_count()
        )
        self.revisions.mark_sent(taken, retransmit_limit)
        return [(settings, tuple(keys)) for settings, keys in groups.items()]

    def forget(self, key: int) -> None:
        """Drop the queued updates about a member."""
        self.statuses.discard(key)
        self.revisions.discard(key)

    def gossip(self, now: float, fanout: int) -> None:
        """Send queued updates to ``fanout`` random members, within the gossip budget."""
        for _ in range(fanout):
            if self.is_idle():
                return
            target = self.random_peer()
            if target is None or not self.gossip_budget.take(self._expected_bytes(), now):
                return
            statuses, revisions = self.take_piggyback(target)
            self.sender.send(
                PacketKind.GOSSIP,
                target.member.gossip_address,
                target.key,
                statuses=statuses,
                revisions=revisions,
            )

    def _expected_bytes(self) -> int:
        waiting = 30 * len(self.statuses) + KEY_BYTES * len(self.revisions)
        return 150 + min(PAYLOAD_BYTES, waiting)

    def random_peer(self) -> MemberEntry | None:
        """Return a random other member that is not dead, or ``None`` if there is none."""
        return self.view.neighbourhood(self.sender.own).choose(self.rng)

    def view_filter(self, salt: int) -> ViewFilter:
        """Return a Bloom filter of this node's view, for another node to compare with its own."""
        live = self.view.live()
        return make_filter((entry.state_hash for entry in live), len(live), salt)

    def entries_differing_from(self, remote_filter: ViewFilter) -> list[MemberEntry]:
        """Return the entries that the sender of a filter lacks or holds outdated.

        These are the live members missing from the filter, then the members that are gone but live
        in the filter, each in random order. Live members come first, since a joining node needs
        them most.
        """
        missing, outdated = [], []
        for entry in self.view.entries.values():
            is_contained = remote_filter.contains(entry.state_hash)
            if entry.health.is_gone and is_contained:
                outdated.append(entry)
            elif not entry.health.is_gone and not is_contained:
                missing.append(entry)
        self.rng.shuffle(missing)
        self.rng.shuffle(outdated)
        return missing + outdated

    def send_records(
        self,
        address: str,
        destination: int,
        entries: Iterable[MemberEntry],
        now: float,
        *,
        requested: bool = False,
    ) -> None:
        """Send full records in a bounded number of datagrams, within the reply budget.

        ``requested`` marks a reply to a request for exactly these records.
        """
        batches = _batches([entry.record() for entry in entries])
        for _, batch in zip(range(self.options.max_record_datagrams), batches, strict=False):
            if not self.reply_budget.take(sum(map(record_size, batch)) + 150, now):
                return
            self.sender.send(
                PacketKind.GOSSIP, address, destination, number=int(requested), records=batch
            )


def _batches(records: list[Record]) -> Iterator[list[Record]]:
    batch: list[Record] = []
    free_bytes = PAYLOAD_BYTES
    for record in records:
        size = record_size(record)
        if size > free_bytes and batch:
            yield batch
            batch, free_bytes = [], PAYLOAD_BYTES
        batch.append(record)
        free_bytes -= size
    if batch:
        yield batch
