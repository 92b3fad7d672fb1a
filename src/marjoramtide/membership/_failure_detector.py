"""The SWIM failure detector: direct and indirect probes."""

import random
from collections.abc import Callable

from marjoramtide.membership._awareness import Awareness
from marjoramtide.membership._disseminator import Disseminator
from marjoramtide.membership._gossip_counters import GossipCounters
from marjoramtide.membership._member_entry import MemberEntry
from marjoramtide.membership._member_view import MemberView
from marjoramtide.membership._packet import Packet, PacketKind
from marjoramtide.membership._packet_sender import PacketSender
from marjoramtide.membership._probe import Probe, RelayedProbe
from marjoramtide.membership._swim_options import SwimOptions

MAX_PROBES = 64
MAX_RELAYED_PROBES = 256
# A helper sends its nack at this share of the probe timeout, before the requester's probe fails.
NACK_TIMEOUT_RATIO = 0.8


class FailureDetector:
    """SWIM's failure detector (Das et al., 2002).

    Members are probed round robin over a shuffled list. If a member doesn't ack in time,
    ``options.indirect_probes`` helpers probe it too before the probe fails. ``on_probe_failed`` is
    called with each member whose probe failed.
    """

    def __init__(
        self,
        view: MemberView,
        sender: PacketSender,
        disseminator: Disseminator,
        options: SwimOptions,
        rng: random.Random,
        counters: GossipCounters,
        on_probe_failed: Callable[[MemberEntry], None],
    ) -> None:
        self.view = view
        self.sender = sender
        self.disseminator = disseminator
        self.options = options
        self.rng = rng
        self.counters = counters
        self.on_probe_failed = on_probe_failed
        self.awareness = Awareness(options.awareness_max_score)
        self.probes: dict[int, Probe] = {}
        self.active_targets: set[int] = set()
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.probe_order: list[int] = []
        self.last_number = rng.getrandbits(31)
        self.next_probe_at = 0.0
        self.next_dead_probe_at = 0.0

    def reset(self, now: float) -> None:
        """Drop all pending probes, whose acks may have been missed during a freeze."""
        self.probes.clear()
        self.active_targets.clear()
        self.relayed_probes.clear()
        self.next_probe_at = now
        self.awareness.score = self.awareness.max_score

    def postpone(self, delay_s: float) -> None:
        """Extend the timeouts of all pending probes."""
        for probe in self.probes.values():
            probe.indirect_at += delay_s
            probe.fails_at += delay_s

    def tick(self, now: float) -> None:
        """Handle probe timeouts and start the probes that are due."""
        self._expire_relayed_probes(now)
        for number, probe in list(self.probes.items()):
            if now >= probe.fails_at:
                self._fail_probe(number, probe)
            elif now >= probe.indirect_at and not probe.has_asked_helpers:
                self._ask_helpers(number, probe)
        if now >= self.next_probe_at:
            self.next_probe_at = now + self.options.probe_interval_s * self.awareness.multiplier
            entry = self._next_target()
            if entry is not None:
                self.probe(entry, now)
        if now >= self.next_dead_probe_at:
            spread = self.rng.uniform(0.5, 1.5)
            self.next_dead_probe_at = now + self.options.dead_probe_interval_s * spread
            self._ping_dead_member()

    def probe(self, entry: MemberEntry, now: float) -> None:
        """Start a probe of a member, unless one is pending."""
        if entry.key in self.active_targets or len(self.probes) >= MAX_PROBES:
            return
        timeout_multiplier = self.awareness.multiplier
        number = self.next_number()
        self.probes[number] = Probe(
            target=entry.key,
            indirect_at=now + self.options.probe_timeout_s * timeout_multiplier,
            fails_at=now + self.options.probe_total_timeout_s * timeout_multiplier,
        )
        self.active_targets.add(entry.key)
        self.counters.probes += 1
        self.ping(entry, number)

    def ping(self, entry: MemberEntry, number: int) -> None:
        """Send one ping with piggybacked updates."""
        statuses, revisions = self.disseminator.take_piggyback(entry)
        self.sender.send(
            PacketKind.PING,
            entry.member.gossip_address,
            entry.key,
            number=number,
            statuses=statuses,
            revisions=revisions,
        )

    def next_number(self) -> int:
        """Return the next probe number; numbers increase, so that late acks can be recognized."""
        self.last_number += 1
        return self.last_number

    def on_ack(self, packet: Packet, now: float) -> bool:
        """Handle an ack; return whether it matches a pending probe."""
        relayed = self.relayed_probes.pop(packet.number, None)
        if relayed is not None and relayed.target == packet.sender:
            self._reply_to_requester(PacketKind.ACK, relayed)
            return True
        probe = self.probes.get(packet.number)
        if probe is None or packet.sender not in (probe.target, *probe.helpers):
            return False
        self._remove_probe(packet.number, probe)
        self.awareness.adjust(-1)
        entry = self.view.entries.get(probe.target)
        if entry is not None:
            self.view.set_locally_suspect(entry, False, now)
        return True

    def on_nack(self, packet: Packet) -> None:
        """Handle a helper's reply that it could not reach the target either."""
        probe = self.probes.get(packet.number)
        if probe is not None:
            probe.silent_helpers.discard(packet.sender)

    def on_ping_request(self, packet: Packet, now: float) -> None:
        """Probe a member on behalf of another node."""
        entry = self.view.entries.get(packet.keys[0]) if packet.keys else None
        if entry is None or len(self.relayed_probes) >= MAX_RELAYED_PROBES:
            return
        number = self.next_number()
        self.relayed_probes[number] = RelayedProbe(
            requester=packet.sender,
            number=packet.number,
            target=entry.key,
            expires_at=now + self.options.probe_timeout_s * NACK_TIMEOUT_RATIO,
        )
        self.ping(entry, number)

    def _next_target(self) -> MemberEntry | None:
        for _ in range(2):
            while self.probe_order:
                entry = self.view.entries.get(self.probe_order.pop())
                if entry and not entry.health.is_gone:
                    return entry
            self.probe_order = self.view.neighbourhood(self.sender.own).probe_round(self.rng)
        return None

    def _ping_dead_member(self) -> None:
        # Without this, two regions that were partitioned would hold each other as dead forever,
        # since dead members aren't probed. One ping at a time is enough: a single ack makes the two
        # sides compare their views.
        dead = [entry for entry in self.view.gone.values() if entry.can_return()]
        if dead:
            self.ping(self.rng.choice(dead), self.next_number())

    def _ask_helpers(self, number: int, probe: Probe) -> None:
        probe.has_asked_helpers = True
        candidates = [
            entry
            for entry in self.rng.sample(
                self.view.live(), min(len(self.view.live()), self.options.indirect_probes + 2)
            )
            if entry.key != probe.target and entry is not self.sender.own
        ][: self.options.indirect_probes]
        for helper in candidates:
            probe.helpers.add(helper.key)
            probe.silent_helpers.add(helper.key)
            self.sender.send(
                PacketKind.PING_REQUEST,
                helper.member.gossip_address,
                helper.key,
                number=number,
                keys=(probe.target,),
            )

    def _fail_probe(self, number: int, probe: Probe) -> None:
        self._remove_probe(number, probe)
        self.counters.failed_probes += 1
        # Silent helpers indicate a problem of this node's own link or load; helpers that sent a
        # nack indicate a failure of the target.
        self.awareness.adjust(len(probe.silent_helpers) if probe.helpers else 1)
        entry = self.view.entries.get(probe.target)
        if entry is not None and not entry.health.is_gone:
            self.on_probe_failed(entry)
            neighbourhood = self.view.neighbourhood(self.sender.own)
            self.probe_order += neighbourhood.keys_in_data_centre_of(entry.member, self.rng)

    def _remove_probe(self, number: int, probe: Probe) -> None:
        del self.probes[number]
        self.active_targets.discard(probe.target)

    def _expire_relayed_probes(self, now: float) -> None:
        for number, relayed in list(self.relayed_probes.items()):
            if now >= relayed.expires_at:
                del self.relayed_probes[number]
                self._reply_to_requester(PacketKind.NACK, relayed)

    def _reply_to_requester(self, kind: PacketKind, relayed: RelayedProbe) -> None:
        requester = self.view.entries.get(relayed.requester)
        if requester is not None:
            self.sender.send(
                kind, requester.member.gossip_address, requester.key, number=relayed.number
            )
