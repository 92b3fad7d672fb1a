"""The membership service of a node: protocol, socket and announcement."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership._announcement import Announcement
from marjoramtide.membership._announcer import Announcer
from marjoramtide.membership._bulletin import BULLETIN_MAGIC, RELAY_MAGIC, BulletinCodec
from marjoramtide.membership._directory import Directory
from marjoramtide.membership._drop_log import DropLog
from marjoramtide.membership._gossip_counters import GossipCounters
from marjoramtide.membership._gossip_protocol import GossipProtocol
from marjoramtide.membership._identity import encode_identity, member_key
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_state import MemberState
from marjoramtide.membership._membership_event import EventKind
from marjoramtide.membership._packet_codec import MAX_IDENTITY_BYTES, PacketCodec
from marjoramtide.membership._packet_error import PacketError
from marjoramtide.membership._swim_core import SwimCore
from marjoramtide.membership._swim_options import SwimOptions
from marjoramtide.settings import NodeSettings, parse_address
from marjoramtide.store import ObjectStore

log = structlog.get_logger()

LEAVE_REPEAT_DELAY_S = 0.1


class MembershipService(Directory):
    """Runs a ``SwimCore`` over a UDP socket and keeps the announcement in the store.

    Queries don't block: they are answered from the core's view, which only the event loop changes.
    """

    def __init__(
        self,
        core: SwimCore,
        bulletin_codec: BulletinCodec,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.core = core
        self.bulletin_codec = bulletin_codec
        self.bulletin_listener: Callable[[Member, list[Any]], None] | None = None
        # Returns the members to which this node relays the bulletins of a sender.
        self.relay_targets: Callable[[Member], Iterable[Member]] = lambda sender: ()
        self.clock = clock
        self.listeners: list[Callable[[Member], None]] = []
        self.drop_log = DropLog()
        # Whether no other node was known or announced when the announcements were last read.
        self.is_alone = False
        # How many nodes were announced when the announcements were last read.
        self.announced_count = 0
        self.destinations: dict[str, tuple[str, int]] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.protocol: GossipProtocol | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.announcer = Announcer(
            store,
            clock,
            rng,
            lambda: self.self_member,
            core.view.live_count,
            self._on_announcements,
        )
        store.on_epoch_change(self.announcer.on_store_epoch)

    # Directory

    @property
    def self_member(self) -> Member:
        return self.core.own.member

    @property
    def counters(self) -> GossipCounters:
        """Return the totals since the start."""
        return self.core.counters

    def members(self) -> list[Member]:
        return self.core.view.members()

    def members_of(self, service: str) -> list[Member]:
        return self.core.view.members_of(service)

    def find(self, node: str) -> Member | None:
        entry = self.core.view.entries.get(member_key(node))
        return entry.member if entry else None

    def set_state(self, state: MemberState) -> None:
        self.core.set_state(state)
        self._flush()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Exclude members in these data centres from ``members_of``."""
        self.core.view.set_evacuated(data_centres)

    def set_settings(self, revision: int, digest: str) -> None:
        self.core.set_settings(revision, digest)
        self._flush()

    def report_failure(self, node: str) -> None:
        self.core.report_failure(node)
        self._flush()

    def on_change(self, listener: Callable[[Member], None]) -> None:
        self.listeners.append(listener)

    def publish(
        self, fields: list[Any], readers: Iterable[Member], relays: Iterable[Member] = ()
    ) -> None:
        """Send a bulletin to some members; bulletins may be lost.

        Each member of ``relays`` also forwards it within its own data centre.
        """
        data = self.bulletin_codec.encode(member_key(self.self_member.node), fields)
        self._send_all(data, readers)
        self._send_all(self.bulletin_codec.as_relay_request(data), relays)

    def on_bulletin(self, listener: Callable[[Member, list[Any]], None]) -> None:
        """Call ``listener`` with the sender and fields of each bulletin received."""
        self.bulletin_listener = listener

    # Lifecycle

    async def start(self) -> None:
        """Bind the gossip address and start; raises ``bad-settings`` if it can't be bound."""
        address = self.self_member.gossip_address
        try:
            (
                self.transport,
                self.protocol,
            ) = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: GossipProtocol(self._receive), local_addr=parse_address(address)
            )
        except OSError as error:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS, f"gossip: {error}", step="membership.start", peer=address
            ) from error
        self.tasks = [
            asyncio.create_task(self._tick(), name="membership-tick"),
            asyncio.create_task(self.announcer.run(), name="membership-announcer"),
        ]

    async def stop(self, leave: bool = True) -> None:
        """Stop; with ``leave`` tell other members and delete the announcement first."""
        if leave and self.transport is not None:
            self.core.leave()
            self._flush()
            await self.clock.sleep(LEAVE_REPEAT_DELAY_S)
            self.core.leave()
            self._flush()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if leave:
            await self.announcer.withdraw()
        if self.transport is not None and self.protocol is not None:
            self.transport.close()
            await self.protocol.closed
            self.transport = None

    async def _tick(self) -> None:
        while True:
            try:
                self.core.tick(self.clock.monotonic(), self.clock.wall())
                self._flush()
            except Exception:  # if the ticks stopped, the other members would declare this one dead
                log.exception("tick-failed", code=ErrorCode.INTERNAL, step="membership.tick")
            await self.clock.sleep(self.core.options.tick_s)

    def _receive(self, data: bytes, address: str) -> None:
        if data.startswith((BULLETIN_MAGIC, RELAY_MAGIC)):
            self._receive_bulletin(data, address)
            return
        self.core.receive(data, address, self.clock.monotonic(), self.clock.wall())
        self._flush()

    def _receive_bulletin(self, data: bytes, address: str) -> None:
        try:
            sender, fields = self.bulletin_codec.decode(data)
        except PacketError as error:
            self.drop_log.add(error.code, address, str(error), self.clock.monotonic())
            return
        entry = self.core.view.entries.get(sender)
        if entry is None:
            return
        # Relayed only if it came from its sender's own address. Otherwise anyone who captured such
        # a datagram could replay it to amplify traffic.
        if data.startswith(RELAY_MAGIC) and entry.member.gossip_address == address:
            self._send_all(self.bulletin_codec.as_bulletin(data), self.relay_targets(entry.member))
        if self.bulletin_listener is not None:
            self.bulletin_listener(entry.member, fields)

    def _flush(self) -> None:
        """Send pending datagrams, notify listeners of changes and log events."""
        for address, data in self.core.drain():
            self._send(address, data)
        changes, self.core.view.changes = self.core.view.changes, []
        for member in changes:
            self._notify(member)
        events, self.core.events = self.core.events, []
        for event in events:
            write = log.error if event.kind is EventKind.SUPERSEDED else log.info
            write(f"membership-{event.kind}", step="membership", detail=event.detail)
        dropped_datagrams, self.core.dropped_datagrams = self.core.dropped_datagrams, []
        for code, address, message in dropped_datagrams:
            self.drop_log.add(code, address, message, self.clock.monotonic())

    def _send_all(self, data: bytes, readers: Iterable[Member]) -> None:
        for member in readers:
            self._send(member.gossip_address, data)

    def _send(self, address: str, data: bytes) -> None:
        destination = self.destinations.get(address)
        if destination is None:
            destination = self.destinations[address] = parse_address(address)
        if self.transport is not None:
            self.transport.sendto(data, destination)

    def _notify(self, member: Member) -> None:
        for listener in self.listeners:
            try:
                listener(member)
            except Exception:  # a failing listener must not stop the failure detector
                log.exception("listener-failed", code=ErrorCode.INTERNAL, member=member.node)

    def _on_announcements(self, announcements: list[Announcement]) -> None:
        # Known members need no seed. The remaining seeds are new nodes, or members on the other
        # side of a long partition that both sides have forgotten.
        known = {member.gossip_address for member in self.members()}
        addresses = [item.gossip_address for item in announcements]
        self.announced_count = len(set(addresses))
        self.core.add_seeds([address for address in addresses if address not in known])
        self.is_alone = len(known) < 2 and not self.core.seeds
        self.core.try_seeds_now(self.clock.monotonic(), self.clock.wall())
        self._flush()


def make_membership(
    node_settings: NodeSettings,
    store: ObjectStore,
    clock: Clock,
    rng: random.Random,
    options: SwimOptions | None = None,
) -> MembershipService:
    """Return the membership service for one run of a node; raises ``bad-settings``.

    ``rng`` generates the identity of the run, so outside of tests it must be unpredictable from run
    to run (``random.SystemRandom()``). For example::

        membership = make_membership(settings, store, SystemClock(), random.SystemRandom())
        await membership.start()
        membership.set_state(MemberState.READY)
    """
    member = Member(
        node=f"{node_settings.name or node_settings.peers}~{rng.getrandbits(48):012x}",
        service=node_settings.service,
        region=node_settings.region,
        data_centre=node_settings.data_centre,
        peer_address=node_settings.peers,
        gossip_address=node_settings.gossip,
        operators_address=node_settings.operators,
        incarnation=int(clock.wall() * 1000),
    )
    _check_size(member)
    # The protocol draws many random numbers, none of them secret, so a fast generator suffices.
    fast_rng = random.Random(rng.getrandbits(64))
    core = SwimCore(member, PacketCodec(node_settings.key), fast_rng, options)
    return MembershipService(core, BulletinCodec(node_settings.key), store, clock, fast_rng)


def _check_size(member: Member) -> None:
    texts: Iterable[str] = (member.node, member.service, member.region, member.data_centre)
    size = len(encode_identity(member))
    if size > MAX_IDENTITY_BYTES or not all(texts):
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS,
            f"name, service, region and data_centre: {size} bytes with the addresses; "
            f"none may be empty and at most {MAX_IDENTITY_BYTES} bytes together are allowed",
            step="membership.start",
        )
