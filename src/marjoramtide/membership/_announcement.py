"""The announcement of a node in the object store."""

import json
from typing import Any

import attrs

from marjoramtide.checked import MalformedError, parse_json, structure_as
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership._member import Member
from marjoramtide.settings import check_address

ANNOUNCEMENT_PREFIX = "announcements/"
# Longer than any valid name, since a node's identity must fit a datagram.
MAX_NAME_CHARACTERS = 400
NAME_VALIDATORS: Any = [attrs.validators.min_len(1), attrs.validators.max_len(MAX_NAME_CHARACTERS)]


@attrs.frozen(slots=True)
class Announcement:
    """A node's identity and addresses; ``refreshed`` is the wall time of the write in seconds."""

    node: str = attrs.field(validator=NAME_VALIDATORS)
    service: str = attrs.field(validator=NAME_VALIDATORS)
    region: str = attrs.field(validator=NAME_VALIDATORS)
    data_centre: str = attrs.field(validator=NAME_VALIDATORS)
    peer_address: str = attrs.field(validator=NAME_VALIDATORS)
    gossip_address: str = attrs.field(validator=check_address)
    operators_address: str = attrs.field(validator=NAME_VALIDATORS)
    refreshed: float

    @property
    def key(self) -> str:
        return ANNOUNCEMENT_PREFIX + self.node

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


def decode_announcement(key: str, value: bytes) -> Announcement:
    """Decode the announcement stored under a key; raises ``bad-frame`` if it is invalid."""
    try:
        announcement = structure_as(Announcement, parse_json(value))
    except MalformedError as error:
        raise announcement_error(key, str(error)) from error
    if announcement.key != key:
        raise announcement_error(key, f"it names {announcement.node[:MAX_NAME_CHARACTERS]!r}")
    return announcement


def announcement_error(key: str, reason: str) -> MarjoramtideError:
    return MarjoramtideError(
        ErrorCode.BAD_FRAME, f"not an announcement: {reason}", step="membership.announce", peer=key
    )
