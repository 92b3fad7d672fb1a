"""A call to the store and its response."""

from collections.abc import Mapping
from enum import Enum

import attrs


class CallOutcome(Enum):
    """What a response status says about the object of the call."""

    DONE = "done"
    MISSING = "missing"  # no such object
    CONFLICT = "conflict"  # the condition of a write did not hold
    GAP = "gap"  # the store no longer has the history that a watch needs


@attrs.frozen(slots=True)
class StoreResponse:
    """A complete response of the store, which was in ``epoch`` when it sent it."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: CallOutcome
    epoch: int = 0


@attrs.frozen(slots=True)
class Call:
    """A call to the store, which may be sent several times.

    ``outcomes`` maps the expected statuses; any other status is an error. ``is_probe`` is true for
    a call by which its sender finds out whether the store responds: an open circuit breaker lets it
    pass, and its failure doesn't count there.
    """

    step: str
    method: str
    path: str
    outcomes: Mapping[int, CallOutcome]
    params: Mapping[str, str] = attrs.field(factory=dict)
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes | None = None
    is_probe: bool = False

    @property
    def is_write(self) -> bool:
        return self.method != "GET"
