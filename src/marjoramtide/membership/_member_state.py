"""The states of a member."""

from enum import StrEnum


class MemberState(StrEnum):
    """A state declared by the member itself, or by others (``suspect``, ``dead``)."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"

    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent to a member in this state."""
        return self in (MemberState.READY, MemberState.SUSPECT)
