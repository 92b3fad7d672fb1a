"""The SWIM membership protocol as a state machine, without sockets, clocks or tasks."""

import random

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership._disseminator import MAX_REQUESTED_KEYS, Disseminator
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

STALL_THRESHOLD_S = 0.5
SALT_BITS = 31
MIN_CATCH_UP_S = 1.0
MAX_CATCH_UP_S = 5.0
SEEDS_PER_ATTEMPT = 3
SEED_INTERVAL_S = 1.0
# Seeds are pinged more often in the first second, also by a node that knows other members: three
# datagrams of 100 bytes each. The nodes of a fleet that starts at once come up within some tenths
# of a second; with the usual interval they know each other twice as late, after over a second.
STARTUP_SEED_INTERVAL_S = 0.2
STARTUP_S = 1.0
# How long the address of a member that is gone is pinged for a new process, and how often by each
# node. A restarted process is up after a second or two.
VACATED_SEARCH_S = 30.0
VACATED_PING_INTERVAL_S = 1.0
RECORD_REQUEST_INTERVAL_S = 0.5
MAX_DIGEST_MISMATCH_S = 5.0
URGENT_FANOUT = 4
LEAVE_FANOUT = 8
HOUSEKEEPING_INTERVAL_S = 30.0
CLAIMS_VERIFIED_PER_TICK = 2
MAX_UNVERIFIED_CLAIMS = 256


class SwimCore:
    """SWIM (Das et al., 2002) with the Lifeguard extensions (Dadgar et al., 2018).

    The caller passes datagrams to ``receive`` and calls ``tick`` every ``options.tick_s``, both
    with the monotonic and the wall clock in seconds, then sends what ``drain`` returns. The caller
    also consumes and clears ``events``, ``dropped_datagrams`` and ``view.changes``. Invalid
    datagrams raise nothing; they are counted in ``counters.dropped``.
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
        self.disseminator = Disseminator(self.view, self.sender, self.options, rng)
        self.detector = FailureDetector(
            self.view,
            self.sender,
            self.disseminator,
            self.options,
            rng,
            self.counters,
            self._suspect,
        )
        self.replay_guard = ReplayGuard(self.key, self.options.max_datagram_age_s)
        self.suspicions = Suspicions(self.view, self.disseminator, self.options)
        self.seeds: list[str] = []
        self.has_untried_seeds = False
        self.events: list[MembershipEvent] = []
        self.dropped_datagrams: list[tuple[DropCode, str, str]] = []
        self.record_requested_at: dict[int, float] = {}
        self.unverified_claims: dict[int, Status] = {}
        self.now: float | None = None
        self.wall = 0.0
        self.started_at = 0.0
        self.last_match_at = 0.0
        self.last_sync_at = 0.0
        self.last_seed_ping_at = -SEED_INTERVAL_S
        self.next_vacated_ping_at = 0.0
        self.last_housekeeping_at = 0.0
        # Until this node has caught up its view may be stale, so it suspects nobody.
        self.is_catching_up = True
        self.first_ack_at: float | None = None
        self.last_number_before_catch_up = self.detector.last_number
        self.has_left = False
        self.is_superseded = False

    # Commands of the node

    def add_seeds(self, addresses: list[str]) -> None:
        """Replace the seed addresses; some are pinged once, more while no other member is known.

        Some are pinged even if other members have found this node meanwhile. Otherwise the first
        few nodes to start may find each other and stay partitioned from the rest: of 790 nodes
        started at once, four did.
        """
        self.seeds = [item for item in addresses if item != self.own.member.gossip_address]
        self.has_untried_seeds = True

    def try_seeds_now(self, now: float, wall: float) -> None:
        """Ping seeds without waiting for the next tick, unless the seed interval has not passed."""
        self._advance(now, wall)
        if not (self.has_left or self.is_superseded):
            self._ping_seeds(now)

    def ping_address(self, address: str) -> None:
        """Ping any node listening at a gossip address, to discover members not yet known."""
        self.sender.send(PacketKind.PING, address, 0, number=self.detector.next_number())

    def set_state(self, state: MemberState) -> None:
        """Change this node's own state and gossip it to some members at once."""
        if self.own.declared is state or self.has_left or self.is_superseded:
            return
        self._set_own(self.own.member.incarnation + 1, state, self.own.health)
        self.disseminator.gossip(self._now(), URGENT_FANOUT)

    def set_settings(self, revision: int, digest: str) -> None:
        """Announce the settings in force here; raises ``bad-settings`` for an overlong digest."""
        if len(digest) > MAX_DIGEST_CHARACTERS:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                f"settings digest of {len(digest)} characters; at most {MAX_DIGEST_CHARACTERS}",
                step="membership.set_settings",
            )
        if self.view.merge_settings(self.key, AppliedSettings(revision, digest), self._now()):
            self.disseminator.revisions.put(self.key)
            self.disseminator.gossip(self._now(), self.options.gossip_fanout)

    def report_failure(self, node: str) -> None:
        """Suspect a member locally after a passively observed failure, and probe it now."""
        entry = self.view.entries.get(member_key(node))
        if entry is None or entry is self.own or entry.health.is_gone:
            return
        self.view.set_locally_suspect(entry, True, self._now())
        self.detector.probe(entry, self._now())

    def leave(self) -> None:
        """Tell some members, which gossip it on, that this node leaves.

        May be called twice, since datagrams can be lost.
        """
        if not self.has_left:
            self.has_left = True
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
        """Return and clear the outgoing datagrams, each with its destination ``IP:PORT``."""
        outbox, self.sender.outbox = self.sender.outbox, []
        return outbox

    # Time

    def tick(self, now: float, wall: float) -> None:
        """Run the timers that are due."""
        self._advance(now, wall)
        if self.has_left or self.is_superseded:
            return
        self.suspicions.confirm_expired(now)
        self._verify_claims(now)
        self.detector.tick(now)
        self._continue_join(now)
        if now >= self.next_vacated_ping_at:
            self.next_vacated_ping_at = now + VACATED_PING_INTERVAL_S * self.rng.uniform(0.5, 1.5)
            self._ping_vacated_address(now)
        self.disseminator.gossip(now, self.options.gossip_fanout)
        if now - self.last_housekeeping_at > HOUSEKEEPING_INTERVAL_S:
            self._housekeeping(now)

    def _now(self) -> float:
        return self.now or 0.0

    def _advance(self, now: float, wall: float) -> None:
        if self.now is None:
            self.started_at = self.last_match_at = self.last_housekeeping_at = now
        elif now - self.now > self.options.freeze_threshold_s and not self.has_left:
            self._resume_after_freeze(now - self.now, now)
        elif now - self.now > STALL_THRESHOLD_S:
            self._postpone(now - self.now)
        self.now = now
        self.wall = self.sender.wall = wall

    def _postpone(self, gap: float) -> None:
        # After a stall of the event loop, acks may wait unread in the socket. Failing the probes
        # before they are read would suspect healthy members.
        self.detector.postpone(gap)
        self.suspicions.postpone(gap)

    def _resume_after_freeze(self, gap: float, now: float) -> None:
        # A process that was stopped (SIGSTOP, a paused VM) has missed all acks sent meanwhile, and
        # all its timers expire at once: acting on them would declare healthy members dead. So it
        # drops its probes, restarts its suspicion timers, suspects nobody until a member has acked
        # a probe sent after the freeze, and refutes any suspicion of itself.
        self.detector.reset(now)
        self.unverified_claims.clear()
        self.suspicions.restart_timers(now)
        self.is_catching_up = True
        self.first_ack_at = None
        self.last_number_before_catch_up = self.detector.last_number
        self.last_match_at = now
        if gap > self.options.dead_retention_s / 2:
            self._forget_others()
        self._set_own(self.own.member.incarnation + 1, self.own.declared, self.own.health)
        self.events.append(MembershipEvent(EventKind.FROZEN, f"{gap:.1f} s"))

    def _forget_others(self) -> None:
        # After so long the other members may have dropped identities that died meanwhile; gossiping
        # the old view would resurrect these. Only the addresses are kept, as seeds.
        others = [entry for entry in self.view.entries.values() if entry is not self.own]
        self.add_seeds([entry.member.gossip_address for entry in others])
        for entry in others:
            self._forget(entry.key)

    def _forget(self, key: int) -> None:
        self.disseminator.forget(key)
        self.view.remove(key)

    def _housekeeping(self, now: float) -> None:
        self.last_housekeeping_at = now
        cutoff = now - self.options.dead_retention_s
        for key in [key for key, entry in self.view.gone.items() if entry.gone_at < cutoff]:
            self._forget(key)
        self.replay_guard.drop_expired(now)
        self.record_requested_at.clear()

    # Own record

    def _set_own(self, incarnation: int, state: MemberState, health: Health) -> None:
        status = Status(self.key, incarnation, state, health)
        self.view.merge_status(status, self._now())
        self.disseminator.statuses.put(self.key)

    def _handle_own_status(self, status: Status) -> None:
        if self.has_left or self.is_superseded:
            return
        own = self.own.member.incarnation
        if status.health is Health.LEFT:
            self._mark_superseded("another process has this node's gossip address")
        elif status.incarnation > own or (
            status.incarnation == own and status.health is not Health.ALIVE
        ):
            self.detector.awareness.adjust(1)
            self.counters.refutations += 1
            self._set_own(status.incarnation + 1, self.own.declared, Health.ALIVE)
            self.events.append(MembershipEvent(EventKind.REFUTED, str(status.health.name)))

    def _mark_superseded(self, reason: str) -> None:
        self.is_superseded = True
        self.view.merge_status(attrs.evolve(self.own.status(), health=Health.LEFT), self._now())
        self.events.append(MembershipEvent(EventKind.SUPERSEDED, reason))

    # Suspicion

    def _suspect(self, entry: MemberEntry) -> None:
        if self.is_catching_up:
            return
        suspicion = attrs.evolve(entry.status(), health=Health.SUSPECT, accuser=self.key)
        self.suspicions.apply_status(suspicion, self._now())

    def _verify_claims(self, now: float) -> None:
        for key in list(self.unverified_claims)[:CLAIMS_VERIFIED_PER_TICK]:
            claim = self.unverified_claims.pop(key)
            entry = self.view.entries.get(key)
            if entry is None or _is_outdated(entry, claim):
                continue
            self.sender.send(
                PacketKind.GOSSIP, entry.member.gossip_address, entry.key, statuses=[claim]
            )
            self.detector.probe(entry, now)

    # Joining and discovery

    def _continue_join(self, now: float) -> None:
        peer = self.disseminator.random_peer()
        if self.has_untried_seeds or peer is None or now - self.started_at < STARTUP_S:
            self._ping_seeds(now)
        if peer is None or not self.is_catching_up:
            return
        if self.first_ack_at is not None and now - self.first_ack_at > MAX_CATCH_UP_S:
            self._finish_catch_up()
        elif now - self.last_sync_at >= self.options.join_interval_s:
            self.detector.ping(peer, self.detector.next_number())
            self._sync_with(peer.member.gossip_address, peer.key, now)

    def _ping_seeds(self, now: float) -> None:
        # When all nodes restart at once (a power loss), the first to read the announcements pings
        # addresses where nobody listens yet. At the usual interval it would know only itself for
        # another second: it would refuse requests for other services and send all others to its own
        # backend server.
        is_starting = now - self.started_at < STARTUP_S
        if not self.seeds or now - self.last_seed_ping_at < (
            STARTUP_SEED_INTERVAL_S if is_starting else SEED_INTERVAL_S
        ):
            return
        self.last_seed_ping_at = now
        self.has_untried_seeds = False
        for address in self.rng.sample(self.seeds, min(SEEDS_PER_ATTEMPT, len(self.seeds))):
            self.ping_address(address)

    def _ping_vacated_address(self, now: float) -> None:
        """Ping an address whose last member is gone, where a new process may have started.

        A node that restarts while the store is down can't read the announcements, and no other node
        reads its own: it would refuse all callers until the store is back, though the rest of the
        fleet serves. The other nodes know its address; one ping a second from each finds it.
        """
        since = now - VACATED_SEARCH_S
        occupied = {entry.member.gossip_address for entry in self.view.live()}
        vacated = {
            entry.member.gossip_address
            for entry in self.view.gone.values()
            if entry.gone_at > since and entry.key != self.key
        } - occupied
        if vacated:
            self.ping_address(self.rng.choice(sorted(vacated)))

    def _finish_catch_up(self) -> None:
        self.is_catching_up = False
        detail = f"{self.view.live_count()} members"
        self.events.append(MembershipEvent(EventKind.JOINED, detail))

    def _sync_with(self, address: str, key: int, now: float, is_reply: bool = False) -> None:
        self.last_sync_at = now
        self.counters.syncs += 1
        salt = self.rng.getrandbits(SALT_BITS)
        self.sender.send(
            PacketKind.SYNC,
            address,
            key,
            number=salt << 1 | (not is_reply),
            view_filter=self.disseminator.view_filter(salt).data,
        )

    def _compare_digests(self, packet: Packet, address: str, now: float) -> None:
        if packet.view_digest == self.view.digest:
            self.last_match_at = now
            first_ack_at = self.first_ack_at if self.is_catching_up else None
            if first_ack_at is not None and now - first_ack_at > MIN_CATCH_UP_S:
                self._finish_catch_up()
            return
        # While updates are being disseminated, views differ for a moment; a sync then would cost
        # many bytes and be superseded by the gossip.
        should_sync = (
            self.disseminator.is_idle() or now - self.last_match_at > MAX_DIGEST_MISMATCH_S
        )
        if should_sync and now - self.last_sync_at >= self.options.sync_interval_s:
            self._sync_with(address, packet.sender, now)

    # Datagrams

    def receive(self, data: bytes, address: str, now: float, wall: float) -> None:
        """Handle a datagram received from the gossip address ``address``."""
        self._advance(now, wall)
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        try:
            packet = self.codec.decode(data)
            self.replay_guard.check(packet, now, wall)
            if packet.destination not in (0, self.key):
                self._reject_misaddressed(packet, address)
            self._handle(packet, address, now)
        except PacketError as error:
            self._drop(error.code, address, str(error))
        except Exception as error:  # a single datagram must not stop the membership task
            self._drop(DropCode.INTERNAL, address, repr(error))

    def _drop(self, code: DropCode, address: str, message: str) -> None:
        self.counters.dropped[code] += 1
        self.dropped_datagrams.append((code, address, message))

    def _reject_misaddressed(self, packet: Packet, address: str) -> None:
        # The sender addresses an earlier process at this address. An ack would keep that dead
        # identity alive forever; this node's own record lets the sender replace it at once.
        if packet.kind is PacketKind.PING:
            self.disseminator.send_records(address, packet.sender, [self.own], self._now())
        raise PacketError(DropCode.MISADDRESSED, "addressed to another member")

    def _handle(self, packet: Packet, address: str, now: float) -> None:
        if self.has_left or self.is_superseded:
            return
        unknown_keys: list[int] = []
        self._merge_sender(packet, address, unknown_keys)
        for status in packet.statuses:
            self._merge_status(status, unknown_keys)
        for settings, keys in packet.revisions:
            self._merge_settings(settings, keys)
        for record in packet.records:
            self._merge_record(record, packet, address)
        self._dispatch(packet, address, now)
        self._request_records(unknown_keys, packet.sender, address, now)
        if packet.kind in (PacketKind.PING, PacketKind.ACK):
            self._compare_digests(packet, address, now)

    def _dispatch(self, packet: Packet, address: str, now: float) -> None:
        match packet.kind:
            case PacketKind.PING:
                statuses, revisions = self.disseminator.take_piggyback(
                    self.view.entries.get(packet.sender)
                )
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
                if self.is_catching_up and packet.number > self.last_number_before_catch_up:
                    self.first_ack_at = self.first_ack_at or now
            case PacketKind.NACK:
                self.detector.on_nack(packet)
            case PacketKind.PING_REQUEST:
                self.detector.on_ping_request(packet, now)
            case PacketKind.SYNC:
                self._reply_to_sync(packet, address, now)
            case PacketKind.RECORD_REQUEST:
                known = [self.view.entries[key] for key in packet.keys if key in self.view.entries]
                self.disseminator.send_records(address, packet.sender, known, now, requested=True)

    def _reply_to_sync(self, packet: Packet, address: str, now: float) -> None:
        if not packet.view_filter:
            return
        different = self.disseminator.entries_differing_from(
            ViewFilter(packet.view_filter, packet.number >> 1)
        )
        self.disseminator.send_records(address, packet.sender, different, now)
        if packet.number & 1:
            self._sync_with(address, packet.sender, now, is_reply=True)

    def _request_records(
        self, unknown_keys: list[int], sender: int, address: str, now: float
    ) -> None:
        keys = [
            key
            for key in unknown_keys
            if now - self.record_requested_at.get(key, -1e9) > RECORD_REQUEST_INTERVAL_S
        ]
        keys = keys[:MAX_REQUESTED_KEYS]
        if keys:
            self.record_requested_at.update(dict.fromkeys(keys, now))
            self.sender.send(PacketKind.RECORD_REQUEST, address, sender, keys=tuple(keys))

    # Merging membership updates

    def _merge_sender(self, packet: Packet, address: str, unknown_keys: list[int]) -> None:
        entry = self.view.entries.get(packet.sender)
        if entry is None:
            unknown_keys.append(packet.sender)
            return
        if entry.health is Health.LEFT:
            if packet.status.health is Health.LEFT:
                return  # the leave message is sent twice
            self.sender.send(PacketKind.GOSSIP, address, packet.sender, statuses=[entry.status()])
            raise PacketError(DropCode.SENDER_GONE, "the sender has left or was replaced")
        self._merge_status(packet.status, unknown_keys)
        if self.view.merge_settings(entry.key, packet.settings, self._now()):
            self.disseminator.revisions.put(entry.key)

    def _merge_status(self, status: Status, unknown_keys: list[int]) -> None:
        if status.key == self.key:
            self._handle_own_status(status)
            return
        entry = self.view.entries.get(status.key)
        if entry is None:
            if not status.health.is_gone:
                unknown_keys.append(status.key)
        elif status.health is Health.SUSPECT:
            self.suspicions.apply_status(status, self._now())
        elif status.health is Health.DEAD and entry.health is Health.ALIVE:
            # After a partition heals, the other side holds every member on this side as dead.
            # Accepted at once, this would leave this side without backend servers until each member
            # had refuted it. A death that no suspicion preceded is verified by a probe.
            if (
                not _is_outdated(entry, status)
                and len(self.unverified_claims) < MAX_UNVERIFIED_CLAIMS
            ):
                self.unverified_claims[status.key] = status
        elif self.view.merge_status(status, self._now()):
            self.disseminator.statuses.put(status.key)

    def _merge_settings(self, settings: AppliedSettings, keys: tuple[int, ...]) -> None:
        for key in keys:
            known = key != self.key and key in self.view.entries
            if (
                known
                and self.view.merge_settings(key, settings, self._now())
                and not self.is_catching_up
            ):
                self.disseminator.revisions.put(key)

    def _merge_record(self, record: Record, packet: Packet, address: str) -> None:
        if record.status.key in self.view.entries:
            self._merge_status(record.status, [])
            self._merge_settings(record.settings, (record.status.key,))
            return
        member = _decode_member(record)
        if member.gossip_address == self.own.member.gossip_address:
            self._resolve_own_address_conflict(member, record.status)
        elif not record.status.health.is_gone and self._resolve_address_conflict(
            member, record.status, address, packet.sender
        ):
            # The records that a joining node pulls are new to that node only, so it doesn't gossip
            # them, unless it requested this record after hearing of a member that just joined.
            self._add_member(member, record, pass_on=not self.is_catching_up or packet.number > 0)

    def _add_member(self, member: Member, record: Record, pass_on: bool) -> None:
        alive = attrs.evolve(record.status, health=Health.ALIVE)
        self.view.add(member, alive, self._now())
        self._merge_settings(record.settings, (record.status.key,))
        if pass_on:
            self.disseminator.statuses.put(record.status.key)
        if record.status.health is Health.SUSPECT:
            self.suspicions.apply_status(record.status, self._now())

    def _resolve_address_conflict(
        self, member: Member, status: Status, address: str, sender: int
    ) -> bool:
        """Decide which of two identities holds a gossip address; return whether the new one does.

        Incarnations start at the wall clock, so the later process has the higher one. A process
        whose clock is behind is sent the earlier record and raises its incarnation above it.
        """
        holder = self.view.entries.get(self.view.by_address.get(member.gossip_address, 0))
        if holder is None:
            return True
        if status.incarnation <= holder.member.incarnation:
            self.disseminator.send_records(address, sender, [holder], self._now())
            return False
        self.view.merge_status(attrs.evolve(holder.status(), health=Health.LEFT), self._now())
        self.disseminator.statuses.put(holder.key)
        return True

    def _resolve_own_address_conflict(self, member: Member, status: Status) -> None:
        # A process that started recently is the replacement and outbids the earlier record; one
        # that has run for longer has itself been replaced.
        if status.incarnation >= self.own.member.incarnation:
            if self._now() - self.started_at > self.options.startup_grace_s:
                self._mark_superseded(f"{member.node} has this node's gossip address")
                return
            self._set_own(status.incarnation + 1, self.own.declared, Health.ALIVE)
        self.view.add(member, attrs.evolve(status, health=Health.LEFT), self._now())
        self.view.by_address[member.gossip_address] = self.key
        self.disseminator.statuses.put(status.key)


def _decode_member(record: Record) -> Member:
    try:
        member = decode_identity(record.identity)
    except Exception as error:  # whatever the decoder raises, the datagram is malformed
        raise PacketError(DropCode.MALFORMED, f"identity: {error}") from error
    if member_key(member.node) != record.status.key:
        raise PacketError(DropCode.MALFORMED, "identity and key differ")
    return member


def _is_outdated(entry: MemberEntry, claim: Status) -> bool:
    return entry.health.is_gone or entry.member.incarnation > claim.incarnation
