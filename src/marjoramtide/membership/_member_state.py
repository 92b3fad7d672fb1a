"""The states of a member."""

from enum import StrEnum


class MemberState(StrEnum):
    """What a member says of itself, or what others say of it (``suspect``, ``dead``)."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"

    def accepts_requests(self) -> bool:
        """Tell whether new requests may be sent to a member in this state."""
        return self in (MemberState.READY, MemberState.SUSPECT)
