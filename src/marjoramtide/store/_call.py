"""One call to the store, and a whole answer to it."""

from collections.abc import Mapping
from enum import Enum

import attrs


class CallOutcome(Enum):
    """What a status says of the object that a call is about."""

    DONE = "done"
    MISSING = "missing"  # there is no such object
    CONFLICT = "conflict"  # the condition of a write did not hold
    GAP = "gap"  # the history that a watch asks for is gone


@attrs.frozen(slots=True)
class StoreResponse:
    """A whole answer of the store; ``epoch`` is that of the store which gave it."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    meaning: CallOutcome
    epoch: int = 0


@attrs.frozen(slots=True)
class Call:
    """One call to the store, as it may be made several times.

    ``meanings`` holds the statuses that say something of the object; any other is an error.
    """

    step: str
    method: str
    path: str
    meanings: Mapping[int, CallOutcome]
    params: Mapping[str, str] = attrs.field(factory=dict)
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes | None = None

    @property
    def is_write(self) -> bool:
        return self.method != "GET"
