"""What others say of a member."""

from enum import IntEnum


class Health(IntEnum):
    """How sure the fleet is that a member runs; at one incarnation the larger value wins.

    ``LEFT`` is final for an identity: the member said goodbye, or another process has taken its
    addresses. ``DEAD`` is not: the member itself may refute it with a higher incarnation.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def is_gone(self) -> bool:
        return self >= Health.DEAD
