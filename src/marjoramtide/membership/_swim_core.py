"""The membership protocol, without sockets, clocks or tasks."""

import random

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership._disseminator import MAX_WANTED_KEYS, Disseminator
from marjoramtide.membership._failure_detector import FailureDetector
from marjoramtide.membership._gossip_counters import GossipCounters
from marjoramtide.membership._health import Health
from marjoramtide.membership._identity import decode_identity, member_key
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_entry import MemberEntry
from marjoramtide.membership._member_state import MemberState
from marjoramtide.membership._member_view import MemberView
from marjoramtide.membership._membership_event import EventKind, MembershipEvent
from marjoramtide.membership._packet import AppliedSettings, Packet, PacketKind, Record, Status
from marjoramtide.membership._packet_codec import MAX_DIGEST_CHARACTERS, PacketCodec
from marjoramtide.membership._packet_error import DropCode, PacketError
from marjoramtide.membership._packet_sender import PacketSender
from marjoramtide.membership._replay_guard import ReplayGuard
from marjoramtide.membership._suspicions import Suspicions
from marjoramtide.membership._swim_options import SwimOptions
from marjoramtide.membership._view_filter import ViewFilter

STALL_S = 0.5
SALT_BITS = 31
LEARNING_FLOOR_S = 1.0
LEARNING_S = 5.0
SEEDS_TRIED = 3
SEED_INTERVAL_S = 1.0
# Between two tries of a node in its first second, also where it knows somebody: three datagrams of
# 100 bytes each. The others of a fleet that starts at once come up within some tenths of a second.
# Measured in memory, until all of 75 that come up within 0.2 s know all: 0.6 s in the middle of
# eight runs and 0.7 s at worst; with the usual interval 1.25 s and 1.5 s.
NEW_INTERVAL_S = 0.2
NEW_FOR_S = 1.0
# For how long after a member has gone its address is tried for a successor, and between two tries
# of one node, in seconds. A process that is started again is up after a second or two.
SUCCESSOR_FOR_S = 30.0
SUCCESSOR_INTERVAL_S = 1.0
WANT_INTERVAL_S = 0.5
UNMATCHED_S = 5.0
URGENT_FANOUT = 4
LEAVE_FANOUT = 8
HOUSEKEEPING_S = 30.0
VERIFY_PER_TICK = 2
MAX_VERIFY = 256


class SwimCore:
    """SWIM (Das et al., 2002) with Lifeguard's additions (Dadgar et al., 2018).

    The owner feeds datagrams to ``receive`` and calls ``tick`` every ``options.tick_s``, both with
    the monotonic and the wall clock in seconds, then sends what ``drain`` returns. ``events`` and
    ``view.changes`` tell what happened; the owner empties them. Nothing raises on bad input: it is
    counted in ``counters.dropped``.
    """

    def __init__(
        self,
        member: Member,
        codec: PacketCodec,
        rng: random.Random,
        options: SwimOptions | None = None,
    ) -> None:
        self.options = options or SwimOptions()
        self.rng = rng
        self.codec = codec
        self.counters = GossipCounters()
        self.view = MemberView()
        self.key = member_key(member.node)
        status = Status(self.key, member.incarnation, member.state)
        self.own = self.view.add(member, status, 0.0)
        self.sender = PacketSender(codec, self.view, self.own, self.counters)
        self.news = Disseminator(self.view, self.sender, self.options, rng)
        self.detector = FailureDetector(
            self.view, self.sender, self.news, self.options, rng, self.counters, self._accuse
        )
        self.guard = ReplayGuard(self.key, self.options.time_window_s)
        self.suspicions = Suspicions(self.view, self.news, self.options)
        self.seeds: list[str] = []
        self.untried_seeds = False
        self.events: list[MembershipEvent] = []
        self.drops: list[tuple[DropCode, str, str]] = []
        self.wanted: dict[int, float] = {}
        self.verify: dict[int, Status] = {}
        self.now: float | None = None
        self.wall = 0.0
        self.started = 0.0
        self.last_match = 0.0
        self.last_sync = 0.0
        self.last_seed = -SEED_INTERVAL_S
        self.next_successor_at = 0.0
        self.last_housekeeping = 0.0
        # While learning, this node has no fresh view of its own and accuses nobody.
        self.learning = True
        self.learned_from: float | None = None
        self.learning_after = self.detector.last_number
        self.left = False
        self.superseded = False

    # What the node asks for

    def add_seeds(self, addresses: list[str]) -> None:
        """Set gossip addresses to try: some of them once, and on while no other member is known.

        Some are tried also by a node that others have found meanwhile. Otherwise a few nodes that
        started first and found each other might stay apart from all that started later: at 790
        members started at once, four did.
        """
        self.seeds = [item for item in addresses if item != self.own.member.gossip_address]
        self.untried_seeds = True

    def seek(self, now: float, wall: float) -> None:
        """Try seeds at once, where it is time for it, rather than at the next tick."""
        self._advance(now, wall)
        if not (self.left or self.superseded):
            self._try_seeds(now)

    def try_address(self, address: str) -> None:
        """Ping whoever listens at a gossip address, to find a part of the fleet not yet known."""
        self.sender.send(PacketKind.PING, address, 0, number=self.detector.next_number())

    def set_state(self, state: MemberState) -> None:
        """Change this node's own state and tell some members at once."""
        if self.own.declared is state or self.left or self.superseded:
            return
        self._set_own(self.own.member.incarnation + 1, state, self.own.health)
        self.news.gossip(self._now(), URGENT_FANOUT)

    def set_settings(self, revision: int, digest: str) -> None:
        """Report the settings in force here; raises ``bad-settings`` for an overlong digest."""
        if len(digest) > MAX_DIGEST_CHARACTERS:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                f"settings digest of {len(digest)} characters; at most {MAX_DIGEST_CHARACTERS}",
                step="membership.set_settings",
            )
        if self.view.merge_settings(self.key, AppliedSettings(revision, digest), self._now()):
            self.news.revisions.put(self.key)
            self.news.gossip(self._now(), self.options.gossip_fanout)

    def report_failure(self, node: str) -> None:
        """Doubt a member on a passive sign and probe it now."""
        entry = self.view.entries.get(member_key(node))
        if entry is None or entry is self.own or entry.health.is_gone:
            return
        self.view.doubt(entry, True, self._now())
        self.detector.probe(entry, self._now())

    def leave(self) -> None:
        """Say goodbye to some members, who pass it on; may be called twice, for lost datagrams."""
        if not self.left:
            self.left = True
            self._set_own(self.own.member.incarnation + 1, MemberState.LEAVING, Health.LEFT)
        live = [entry for entry in self.view.live() if entry is not self.own]
        for entry in self.rng.sample(live, min(len(live), LEAVE_FANOUT)):
            self.sender.send(
                PacketKind.GOSSIP,
                entry.member.gossip_address,
                entry.key,
                statuses=[self.own.status()],
            )

    def drain(self) -> list[tuple[str, bytes]]:
        """Return and forget the datagrams to send, each with its ``IP:PORT``."""
        outbox, self.sender.outbox = self.sender.outbox, []
        return outbox

    # Time

    def tick(self, now: float, wall: float) -> None:
        """Do what is due."""
        self._advance(now, wall)
        if self.left or self.superseded:
            return
        self.suspicions.expire(now)
        self._verify_claims(now)
        self.detector.tick(now)
        self._join(now)
        if now >= self.next_successor_at:
            self.next_successor_at = now + SUCCESSOR_INTERVAL_S * self.rng.uniform(0.5, 1.5)
            self._try_successor(now)
        self.news.gossip(now, self.options.gossip_fanout)
        if now - self.last_housekeeping > HOUSEKEEPING_S:
            self._housekeeping(now)

    def _now(self) -> float:
        return self.now or 0.0

    def _advance(self, now: float, wall: float) -> None:
        if self.now is None:
            self.started = self.last_match = self.last_housekeeping = now
        elif now - self.now > self.options.freeze_gap_s and not self.left:
            self._thaw(now - self.now, now)
        elif now - self.now > STALL_S:
            self._postpone(now - self.now)
        self.now = now
        self.wall = self.sender.wall = wall

    def _postpone(self, gap: float) -> None:
        # A busy loop that came round late has answers waiting in its socket: a probe judged before
        # they are read would accuse a healthy member.
        self.detector.postpone(gap)
        self.suspicions.postpone(gap)

    def _thaw(self, gap: float, now: float) -> None:
        # A process that was stopped missed every answer sent to it meanwhile, and its timers all
        # look expired at once: acting on them, it would declare healthy members dead. So it drops
        # its probes, starts the suspicions it holds anew, accuses nobody until another member has
        # answered a probe sent after its return, and refutes what was said about it.
        self.detector.reset(now)
        self.verify.clear()
        self.suspicions.begin_anew(now)
        self.learning = True
        self.learned_from = None
        self.learning_after = self.detector.last_number
        self.last_match = now
        if gap > self.options.forget_s / 2:
            self._forget_all()
        self._set_own(self.own.member.incarnation + 1, self.own.declared, self.own.health)
        self.events.append(MembershipEvent(EventKind.FROZEN, f"{gap:.1f} s"))

    def _forget_all(self) -> None:
        # After so long the others may have forgotten identities that died meanwhile; telling them
        # the old view would bring those back. Their addresses are kept as seeds only.
        others = [entry for entry in self.view.entries.values() if entry is not self.own]
        self.add_seeds([entry.member.gossip_address for entry in others])
        for entry in others:
            self._forget(entry.key)

    def _forget(self, key: int) -> None:
        self.news.forget(key)
        self.view.remove(key)

    def _housekeeping(self, now: float) -> None:
        self.last_housekeeping = now
        old = now - self.options.forget_s
        for key in [key for key, entry in self.view.gone.items() if entry.gone_at < old]:
            self._forget(key)
        self.guard.forget_old(now)
        self.wanted.clear()

    # Own record

    def _set_own(self, incarnation: int, state: MemberState, health: Health) -> None:
        status = Status(self.key, incarnation, state, health)
        self.view.merge_status(status, self._now())
        self.news.statuses.put(self.key)

    def _hear_about_self(self, status: Status) -> None:
        if self.left or self.superseded:
            return
        own = self.own.member.incarnation
        if status.health is Health.LEFT:
            self._stand_down("another process has this node's gossip address")
        elif status.incarnation > own or (
            status.incarnation == own and status.health is not Health.ALIVE
        ):
            self.detector.awareness.add(1)
            self.counters.refutations += 1
            self._set_own(status.incarnation + 1, self.own.declared, Health.ALIVE)
            self.events.append(MembershipEvent(EventKind.REFUTED, str(status.health.name)))

    def _stand_down(self, reason: str) -> None:
        self.superseded = True
        self.view.merge_status(attrs.evolve(self.own.status(), health=Health.LEFT), self._now())
        self.events.append(MembershipEvent(EventKind.SUPERSEDED, reason))

    # Suspicion

    def _accuse(self, entry: MemberEntry) -> None:
        if self.learning:
            return
        accusation = attrs.evolve(entry.status(), health=Health.SUSPECT, accuser=self.key)
        self.suspicions.hear(accusation, self._now())

    def _verify_claims(self, now: float) -> None:
        for key in list(self.verify)[:VERIFY_PER_TICK]:
            claim = self.verify.pop(key)
            entry = self.view.entries.get(key)
            if entry is None or _is_answered(entry, claim):
                continue
            self.sender.send(
                PacketKind.GOSSIP, entry.member.gossip_address, entry.key, statuses=[claim]
            )
            self.detector.probe(entry, now)

    # Finding the others

    def _join(self, now: float) -> None:
        peer = self.news.random_peer()
        if self.untried_seeds or peer is None or now - self.started < NEW_FOR_S:
            self._try_seeds(now)
        if peer is None or not self.learning:
            return
        if self.learned_from is not None and now - self.learned_from > LEARNING_S:
            self._learned()
        elif now - self.last_sync >= self.options.join_interval_s:
            self.detector.ping(peer, self.detector.next_number())
            self._sync_with(peer.member.gossip_address, peer.key, now)

    def _try_seeds(self, now: float) -> None:
        # Failure: all nodes lose power and start again. The first to read the list tries addresses
        # where nobody listens yet, and knows only itself for another second: it refuses what is for
        # other services, and its own backend server gets all the rest.
        new = now - self.started < NEW_FOR_S
        if not self.seeds or now - self.last_seed < (NEW_INTERVAL_S if new else SEED_INTERVAL_S):
            return
        self.last_seed = now
        self.untried_seeds = False
        for address in self.rng.sample(self.seeds, min(SEEDS_TRIED, len(self.seeds))):
            self.try_address(address)

    def _try_successor(self, now: float) -> None:
        """Try an address that a member has left, where another process may be up by now.

        Failure: a node is started again while the store is down. It can't read who is there, nobody
        looks where it is, and it refuses every caller until the store is back, though the rest of
        the fleet serves. The others know its address; one datagram a second each finds it.
        """
        since = now - SUCCESSOR_FOR_S
        held = {entry.member.gossip_address for entry in self.view.live()}
        left = {
            entry.member.gossip_address
            for entry in self.view.gone.values()
            if entry.gone_at > since and entry.key != self.key
        } - held
        if left:
            self.try_address(self.rng.choice(sorted(left)))

    def _learned(self) -> None:
        self.learning = False
        detail = f"{self.view.alive_count()} members"
        self.events.append(MembershipEvent(EventKind.JOINED, detail))

    def _sync_with(self, address: str, key: int, now: float, answer: bool = False) -> None:
        self.last_sync = now
        self.counters.syncs += 1
        salt = self.rng.getrandbits(SALT_BITS)
        self.sender.send(
            PacketKind.SYNC,
            address,
            key,
            number=salt << 1 | (not answer),
            view_filter=self.news.view_filter(salt).data,
        )

    def _compare(self, packet: Packet, address: str, now: float) -> None:
        if packet.view_digest == self.view.digest:
            self.last_match = now
            learned_from = self.learned_from if self.learning else None
            if learned_from is not None and now - learned_from > LEARNING_FLOOR_S:
                self._learned()
            return
        # News under way makes views differ for a moment; pulling then would cost much for nothing.
        settled = self.news.is_idle() or now - self.last_match > UNMATCHED_S
        if settled and now - self.last_sync >= self.options.sync_interval_s:
            self._sync_with(address, packet.sender, now)

    # Datagrams

    def receive(self, data: bytes, address: str, now: float, wall: float) -> None:
        """Take a datagram that came from the gossip address ``address``."""
        self._advance(now, wall)
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        try:
            packet = self.codec.decode(data)
            self.guard.check(packet, now, wall)
            if packet.destination not in (0, self.key):
                self._redirect(packet, address)
            self._handle(packet, address, now)
        except PacketError as error:
            self._drop(error.code, address, str(error))
        except Exception as error:  # one bad datagram must not stop the membership task
            self._drop(DropCode.INTERNAL, address, repr(error))

    def _drop(self, code: DropCode, address: str, message: str) -> None:
        self.counters.dropped[code] += 1
        self.drops.append((code, address, message))

    def _redirect(self, packet: Packet, address: str) -> None:
        # The sender means an earlier process at this address. An answer in its name would keep the
        # dead identity alive for ever; the own record lets the sender replace it at once.
        if packet.kind is PacketKind.PING:
            self.news.send_records(address, packet.sender, [self.own], self._now())
        raise PacketError(DropCode.MISADDRESSED, "meant for another member")

    def _handle(self, packet: Packet, address: str, now: float) -> None:
        if self.left or self.superseded:
            return
        missing: list[int] = []
        self._hear_sender(packet, address, missing)
        for status in packet.statuses:
            self._hear_status(status, missing)
        for settings, keys in packet.revisions:
            self._hear_settings(settings, keys)
        for record in packet.records:
            self._hear_record(record, packet, address)
        self._act(packet, address, now)
        self._want(missing, packet.sender, address, now)
        if packet.kind in (PacketKind.PING, PacketKind.ACK):
            self._compare(packet, address, now)

    def _act(self, packet: Packet, address: str, now: float) -> None:
        match packet.kind:
            case PacketKind.PING:
                statuses, revisions = self.news.content(self.view.entries.get(packet.sender))
                self.sender.send(
                    PacketKind.ACK,
                    address,
                    packet.sender,
                    number=packet.number,
                    statuses=statuses,
                    revisions=revisions,
                )
            case PacketKind.ACK:
                self.detector.on_ack(packet, now)
                if self.learning and packet.number > self.learning_after:
                    self.learned_from = self.learned_from or now
            case PacketKind.NACK:
                self.detector.on_nack(packet)
            case PacketKind.PING_REQUEST:
                self.detector.on_request(packet, now)
            case PacketKind.SYNC:
                self._answer_sync(packet, address, now)
            case PacketKind.WANT:
                known = [self.view.entries[key] for key in packet.keys if key in self.view.entries]
                self.news.send_records(address, packet.sender, known, now, asked_for=True)

    def _answer_sync(self, packet: Packet, address: str, now: float) -> None:
        if not packet.view_filter:
            return
        different = self.news.differing(ViewFilter(packet.view_filter, packet.number >> 1))
        self.news.send_records(address, packet.sender, different, now)
        if packet.number & 1:
            self._sync_with(address, packet.sender, now, answer=True)

    def _want(self, missing: list[int], sender: int, address: str, now: float) -> None:
        keys = [key for key in missing if now - self.wanted.get(key, -1e9) > WANT_INTERVAL_S]
        keys = keys[:MAX_WANTED_KEYS]
        if keys:
            self.wanted.update(dict.fromkeys(keys, now))
            self.sender.send(PacketKind.WANT, address, sender, keys=tuple(keys))

    # News

    def _hear_sender(self, packet: Packet, address: str, missing: list[int]) -> None:
        entry = self.view.entries.get(packet.sender)
        if entry is None:
            missing.append(packet.sender)
            return
        if entry.health is Health.LEFT:
            if packet.status.health is Health.LEFT:
                return  # the goodbye is sent twice
            self.sender.send(PacketKind.GOSSIP, address, packet.sender, statuses=[entry.status()])
            raise PacketError(DropCode.SENDER_GONE, "the sender has left or was replaced")
        self._hear_status(packet.status, missing)
        if self.view.merge_settings(entry.key, packet.settings, self._now()):
            self.news.revisions.put(entry.key)

    def _hear_status(self, status: Status, missing: list[int]) -> None:
        if status.key == self.key:
            self._hear_about_self(status)
            return
        entry = self.view.entries.get(status.key)
        if entry is None:
            if not status.health.is_gone:
                missing.append(status.key)
        elif status.health is Health.SUSPECT:
            self.suspicions.hear(status, self._now())
        elif status.health is Health.DEAD and entry.health is Health.ALIVE:
            # After a cut heals, the other side's view says "dead" of every member on this side.
            # Believed at once, it would empty this side's list of backend servers until each one
            # had refuted it. Where no suspicion went before, the claim is checked by a probe.
            if not _is_answered(entry, status) and len(self.verify) < MAX_VERIFY:
                self.verify[status.key] = status
        elif self.view.merge_status(status, self._now()):
            self.news.statuses.put(status.key)

    def _hear_settings(self, settings: AppliedSettings, keys: tuple[int, ...]) -> None:
        for key in keys:
            known = key != self.key and key in self.view.entries
            if known and self.view.merge_settings(key, settings, self._now()) and not self.learning:
                self.news.revisions.put(key)

    def _hear_record(self, record: Record, packet: Packet, address: str) -> None:
        if record.status.key in self.view.entries:
            self._hear_status(record.status, [])
            self._hear_settings(record.settings, (record.status.key,))
            return
        member = _identity_of(record)
        if member.gossip_address == self.own.member.gossip_address:
            self._defend_address(member, record.status)
        elif not record.status.health.is_gone and self._takes_address(
            member, record.status, address, packet.sender
        ):
            # What a joining node pulls is news to itself alone, unless it asked for this record
            # after hearing of a member that is itself new.
            self._admit(member, record, pass_on=not self.learning or packet.number > 0)

    def _admit(self, member: Member, record: Record, pass_on: bool) -> None:
        alive = attrs.evolve(record.status, health=Health.ALIVE)
        self.view.add(member, alive, self._now())
        self._hear_settings(record.settings, (record.status.key,))
        if pass_on:
            self.news.statuses.put(record.status.key)
        if record.status.health is Health.SUSPECT:
            self.suspicions.hear(record.status, self._now())

    def _takes_address(self, member: Member, status: Status, address: str, sender: int) -> bool:
        """Settle which of two identities has a gossip address; return whether the new one does.

        Incarnations start at the wall clock, so the later process has the higher one; a process
        whose clock ran back is told of the earlier record and raises its own above it.
        """
        holder = self.view.entries.get(self.view.by_address.get(member.gossip_address, 0))
        if holder is None:
            return True
        if status.incarnation <= holder.member.incarnation:
            self.news.send_records(address, sender, [holder], self._now())
            return False
        self.view.merge_status(attrs.evolve(holder.status(), health=Health.LEFT), self._now())
        self.news.statuses.put(holder.key)
        return True

    def _defend_address(self, member: Member, status: Status) -> None:
        if status.incarnation >= self.own.member.incarnation:
            if self._now() - self.started > self.options.young_s:
                self._stand_down(f"{member.node} has this node's gossip address")
                return
            self._set_own(status.incarnation + 1, self.own.declared, Health.ALIVE)
        self.view.add(member, attrs.evolve(status, health=Health.LEFT), self._now())
        self.view.by_address[member.gossip_address] = self.key
        self.news.statuses.put(status.key)


def _identity_of(record: Record) -> Member:
    try:
        member = decode_identity(record.identity)
    except Exception as error:  # whatever the decoder raises, the datagram is at fault
        raise PacketError(DropCode.MALFORMED, f"identity: {error}") from error
    if member_key(member.node) != record.status.key:
        raise PacketError(DropCode.MALFORMED, "identity and key differ")
    return member


def _is_answered(entry: MemberEntry, claim: Status) -> bool:
    return entry.health.is_gone or entry.member.incarnation > claim.incarnation
