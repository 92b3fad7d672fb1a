"""Replay protection for gossip datagrams."""

from marjoramtide.membership._packet import Packet
from marjoramtide.membership._packet_error import DropCode, PacketError
from marjoramtide.membership._replay_window import ReplayWindow

WINDOW_RETENTION_FACTOR = 3


class ReplayGuard:
    """A replay window for each sender, and a limit on the age of datagrams by the wall clock.

    A recorded datagram carries a valid MAC. Its replay is rejected by the window if this process
    knows the sender, and by its age otherwise. Windows are kept for longer than the maximum age, so
    that at any time one of the two applies.
    """

    def __init__(self, own_key: int, max_datagram_age_s: float) -> None:
        self.own_key = own_key
        self.max_datagram_age_s = max_datagram_age_s
        self.windows: dict[int, tuple[ReplayWindow, float]] = {}

    def check(self, packet: Packet, now: float, wall: float) -> None:
        """Raise ``PacketError`` if the packet is a replay, too old or from this node itself."""
        if packet.sender == self.own_key:
            raise PacketError(DropCode.REPLAYED, "this node's own datagram")
        age = wall - packet.sent_ms / 1000
        if abs(age) > self.max_datagram_age_s:
            raise PacketError(DropCode.OUT_OF_TIME, f"sent {age:.0f} s ago by the sender's clock")
        window, _ = self.windows.get(packet.sender) or (ReplayWindow(), 0.0)
        self.windows[packet.sender] = (window, now)
        if not window.accept(packet.sequence):
            raise PacketError(DropCode.REPLAYED, f"sequence {packet.sequence} seen before")

    def drop_expired(self, now: float) -> None:
        """Drop the windows of senders that have been silent for long."""
        cutoff = now - WINDOW_RETENTION_FACTOR * self.max_datagram_age_s
        self.windows = {key: pair for key, pair in self.windows.items() if pair[1] > cutoff}
