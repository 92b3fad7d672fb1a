"""What the protocol tells the rest of the node."""

from enum import StrEnum

import attrs


class EventKind(StrEnum):
    """Things about this node itself that are worth a log line."""

    JOINED = "joined"
    REFUTED = "refuted"
    FROZEN = "frozen"
    SUPERSEDED = "superseded"


@attrs.frozen(slots=True)
class MembershipEvent:
    """An event with a detail for the log."""

    kind: EventKind
    detail: str = ""
