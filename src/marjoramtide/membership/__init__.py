"""Gossip membership: which nodes exist and in which state they are."""

from marjoramtide.membership._announcement import (
    ANNOUNCEMENT_PREFIX,
    Announcement,
    decode_announcement,
)
from marjoramtide.membership._directory import Directory
from marjoramtide.membership._gossip_counters import GossipCounters
from marjoramtide.membership._identity import member_key
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_state import MemberState
from marjoramtide.membership._membership_event import EventKind, MembershipEvent
from marjoramtide.membership._membership_service import MembershipService, make_membership
from marjoramtide.membership._packet_codec import MAX_DATAGRAM_BYTES, PacketCodec
from marjoramtide.membership._packet_error import DropCode
from marjoramtide.membership._swim_core import SwimCore
from marjoramtide.membership._swim_options import SwimOptions

__all__ = [
    "ANNOUNCEMENT_PREFIX",
    "MAX_DATAGRAM_BYTES",
    "Announcement",
    "Directory",
    "DropCode",
    "EventKind",
    "GossipCounters",
    "Member",
    "MemberState",
    "MembershipEvent",
    "MembershipService",
    "PacketCodec",
    "SwimCore",
    "SwimOptions",
    "decode_announcement",
    "make_membership",
    "member_key",
]
