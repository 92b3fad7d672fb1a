"""The health of a member as the failure detector sees it."""

from enum import IntEnum


class Health(IntEnum):
    """SWIM's alive, suspect and dead; at the same incarnation the larger value overrides.

    ``LEFT`` is final for an identity: the member left as planned, or another process has taken its
    addresses. ``DEAD`` can be refuted by the member itself with a higher incarnation.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def is_gone(self) -> bool:
        return self >= Health.DEAD
