"""Events of the membership protocol."""

from enum import StrEnum

import attrs


class EventKind(StrEnum):
    """Events that concern this node itself and are logged."""

    JOINED = "joined"
    REFUTED = "refuted"
    FROZEN = "frozen"
    SUPERSEDED = "superseded"


@attrs.frozen(slots=True)
class MembershipEvent:
    """An event with a detail for the log."""

    kind: EventKind
    detail: str = ""
