"""Spreads news: piggybacked on probes, in gossip of its own, and on request."""

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

# A datagram's 1200 bytes less its code (16), its header and the frames of its parts.
PIGGYBACK_BYTES = 940
STATUS_BYTES = 600
KEY_BYTES = 8
REVISION_GROUP_BYTES = 90
MAX_REQUESTED_KEYS = 100


class Disseminator:
    """Decides what news goes to whom.

    A status is 23 to 32 bytes and names its member by key; a node that does not know the key asks
    for the record once, so a whole record travels to each node once. Settings revisions travel
    grouped, 8 bytes for each member, since after a change all members report the same one.
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
        """Take the news for one datagram, the least told first.

        A member believed to be failing is told so first (Lifeguard's buddy system): it can refute
        a suspicion only after it has heard of it.
        """
        statuses = []
        if recipient is not None and recipient.health is not Health.ALIVE:
            statuses.append(recipient.status(self.sender.own.key))
        statuses += self._take_statuses(STATUS_BYTES)
        room = PIGGYBACK_BYTES - sum(status_size(status) for status in statuses)
        return statuses, self._take_revisions(room)

    def _take_statuses(self, room: int) -> list[Status]:
        taken = []
        for key, accuser in self.statuses.peek(room // 23):
            status = self.view.entries[key].status(accuser)
            room -= status_size(status)
            if room < 0:
                break
            taken.append(status)
        retransmit_limit = self.options.retransmit_limit(
            self.options.retransmit_factor, self.view.alive_count()
        )
        self.statuses.sent([status.key for status in taken], retransmit_limit)
        return taken

    def _take_revisions(self, room: int) -> list[tuple[AppliedSettings, tuple[int, ...]]]:
        groups: dict[AppliedSettings, list[int]] = defaultdict(list)
        taken = []
        for key, _ in self.revisions.peek(room // KEY_BYTES):
            settings = self.view.entries[key].settings()
            room -= KEY_BYTES + (0 if settings in groups else REVISION_GROUP_BYTES)
            if room < 0:
                break
            groups[settings].append(key)
            taken.append(key)
        retransmit_limit = self.options.retransmit_limit(
            self.options.revision_retransmit_factor, self.view.alive_count()
        )
        self.revisions.sent(taken, retransmit_limit)
        return [(settings, tuple(keys)) for settings, keys in groups.items()]

    def forget(self, key: int) -> None:
        """Stop passing on news of a member."""
        self.statuses.discard(key)
        self.revisions.discard(key)

    def gossip(self, now: float, fanout: int) -> None:
        """Send waiting news to ``fanout`` members chosen at random, within the budget."""
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
        return 150 + min(PIGGYBACK_BYTES, waiting)

    def random_peer(self) -> MemberEntry | None:
        """Return a member other than this node that is not known to be dead."""
        return self.view.peer_sampler(self.sender.own).choose(self.rng)

    def view_filter(self, salt: int) -> ViewFilter:
        """Return a summary of this node's view, for another node to compare."""
        live = self.view.live()
        return make_filter((entry.state_hash for entry in live), len(live), salt)

    def entries_differing_from(self, found: ViewFilter) -> list[MemberEntry]:
        """Return the entries that are news to the owner of a filter, in random order.

        Of members that run, those that it lacks; of members that are gone, those that it holds to
        run. The former come first, since a joining node can't do without them.
        """
        lacking, outdated = [], []
        for entry in self.view.entries.values():
            held = found.contains(entry.state_hash)
            if entry.health.is_gone and held:
                outdated.append(entry)
            elif not entry.health.is_gone and not held:
                lacking.append(entry)
        self.rng.shuffle(lacking)
        self.rng.shuffle(outdated)
        return lacking + outdated

    def send_records(
        self,
        address: str,
        destination: int,
        entries: Iterable[MemberEntry],
        now: float,
        *,
        requested: bool = False,
    ) -> None:
        """Send whole records in a bounded number of datagrams, within the budget of answers.

        ``asked_for`` marks the answer to a request for these very records.
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
    room = PIGGYBACK_BYTES
    for record in records:
        size = record_size(record)
        if size > room and batch:
            yield batch
            batch, room = [], PIGGYBACK_BYTES
        batch.append(record)
        room -= size
    if batch:
        yield batch
