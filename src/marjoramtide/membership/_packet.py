"""What nodes send each other in datagrams."""

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
    """What the receiver of a datagram is to do."""

    PING = 1
    ACK = 2
    NACK = 3
    PING_REQUEST = 4
    GOSSIP = 5
    SYNC = 6
    RECORD_REQUEST = 7


@attrs.frozen(slots=True)
class Status:
    """The changing part of a member record; ``accuser`` is set on a suspicion."""

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
    """A whole member record; ``identity`` is the encoded part that never changes."""

    identity: bytes
    status: Status
    settings: AppliedSettings


@attrs.frozen(slots=True)
class Packet:
    """One datagram.

    ``sender`` and ``destination`` are member keys (``destination`` 0: whoever listens there),
    ``sent_ms`` is the sender's wall clock, ``number`` matches an answer to its probe,
    ``view_digest`` sums up the sender's view, ``status`` and ``settings`` are the sender's own.
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
