"""Encoding and queueing of outgoing datagrams."""

from typing import Any

from marjoramtide.membership._gossip_counters import GossipCounters
from marjoramtide.membership._member_entry import MemberEntry
from marjoramtide.membership._member_view import MemberView
from marjoramtide.membership._packet import Packet, PacketKind
from marjoramtide.membership._packet_codec import PacketCodec


class PacketSender:
    """Encodes datagrams and queues them in ``outbox`` as (address, bytes).

    Each datagram carries a sequence number and the sender's own status, so that a receiver knows
    the sender's current state without waiting for gossip.
    """

    def __init__(
        self, codec: PacketCodec, view: MemberView, own: MemberEntry, counters: GossipCounters
    ) -> None:
        self.codec = codec
        self.view = view
        self.own = own
        self.counters = counters
        self.outbox: list[tuple[str, bytes]] = []
        self.sequence = 0
        self.wall = 0.0

    def send(self, kind: PacketKind, address: str, destination: int, **body: Any) -> int:
        """Queue a datagram; return its size. ``body`` holds the remaining fields of ``Packet``."""
        self.sequence += 1
        packet = Packet(
            kind=kind,
            sender=self.own.key,
            sequence=self.sequence,
            sent_ms=int(self.wall * 1000),
            destination=destination,
            number=body.pop("number", 0),
            view_digest=self.view.digest,
            status=self.own.status(),
            settings=self.own.settings(),
            **body,
        )
        data = self.codec.encode(packet)
        self.outbox.append((address, data))
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)
        return len(data)
