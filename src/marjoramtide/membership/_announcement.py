"""What a node writes about itself into the store."""

import json

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership._member import Member
from marjoramtide.settings import parse_address

ANNOUNCEMENTS = "announcements/"


@attrs.frozen(slots=True)
class Announcement:
    """A node's identity and addresses; ``refreshed`` is its wall clock in seconds."""

    node: str
    service: str
    region: str
    data_centre: str
    peer_address: str
    gossip_address: str
    operators_address: str
    refreshed: float

    @property
    def key(self) -> str:
        return ANNOUNCEMENTS + self.node

    def encode(self) -> bytes:
        return json.dumps(attrs.asdict(self), separators=(",", ":")).encode()


def announcement_of(member: Member, wall: float) -> Announcement:
    """Return the announcement of a member."""
    return Announcement(
        node=member.node,
        service=member.service,
        region=member.region,
        data_centre=member.data_centre,
        peer_address=member.peer_address,
        gossip_address=member.gossip_address,
        operators_address=member.operators_address,
        refreshed=wall,
    )


def decode_announcement(value: bytes) -> Announcement:
    """Read an announcement; raises ``bad-frame`` where the object is none."""
    try:
        announcement = Announcement(**json.loads(value))
        parse_address(announcement.gossip_address)
        if not isinstance(announcement.refreshed, int | float):
            raise ValueError("its time is no number")
    except (ValueError, TypeError, AttributeError) as error:
        raise MarjoramtideError(
            ErrorCode.BAD_FRAME, f"not an announcement: {error}", step="membership.announce"
        ) from error
    return announcement
