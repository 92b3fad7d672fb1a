"""The contents of gossip datagrams."""

from enum import IntEnum

import attrs

from marjoramtide.membership._health import Health
from marjoramtide.membership._member_state import MemberState

DECLARED_STATES = (
    MemberState.STARTING,
    MemberState.READY,
    MemberState.DRAINING,
    MemberState.LEAVING,
)


class PacketKind(IntEnum):
    """The kind of a datagram; ``PING``, ``ACK`` and ``PING_REQUEST`` are SWIM's."""

    PING = 1
    ACK = 2
    NACK = 3
    PING_REQUEST = 4
    GOSSIP = 5
    SYNC = 6
    RECORD_REQUEST = 7


@attrs.frozen(slots=True)
class Status:
    """The mutable part of a member record; ``accuser`` is only set for a suspicion."""

    key: int
    incarnation: int
    declared: MemberState
    health: Health = Health.ALIVE
    accuser: int = 0


@attrs.frozen(slots=True)
class AppliedSettings:
    """The settings a member has in force."""

    revision: int = 0
    digest: str = ""


@attrs.frozen(slots=True)
class Record:
    """A full member record; ``identity`` is the encoded immutable part."""

    identity: bytes
    status: Status
    settings: AppliedSettings


@attrs.frozen(slots=True)
class Packet:
    """One datagram.

    ``sender`` and ``destination`` are member keys (``destination`` 0 is any node that listens
    there), ``sequence`` is for replay protection, ``sent_ms`` is the sender's wall clock,
    ``view_digest`` is a hash of the sender's view, ``status`` and ``settings`` are those of the
    sender.

    ``number`` matches an ack or nack to its probe. In a sync it is the salt of ``view_filter``
    shifted left by one, plus 1 if a sync is wanted in reply. In gossip it is 1 if the records were
    requested.
    """

    kind: PacketKind
    sender: int
    sequence: int
    sent_ms: int
    destination: int
    number: int
    view_digest: int
    status: Status
    settings: AppliedSettings
    statuses: list[Status] = attrs.field(factory=list)
    revisions: list[tuple[AppliedSettings, tuple[int, ...]]] = attrs.field(factory=list)
    records: list[Record] = attrs.field(factory=list)
    view_filter: bytes = b""
    keys: tuple[int, ...] = ()
