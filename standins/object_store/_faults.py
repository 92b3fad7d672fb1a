"""Faults that can be injected into the object store stand-in."""

import attrs

NON_NEGATIVE = attrs.validators.and_(
    attrs.validators.instance_of((int, float)), attrs.validators.ge(0)
)
COUNT = attrs.validators.and_(attrs.validators.instance_of(int), attrs.validators.ge(-1))


@attrs.define(slots=True)
class Faults:
    """Faults in force. Each matching call uses up one of a count; ``-1`` applies to every call.

    Modes other than ``up``:

    * ``refuse``: 503 with the header that states that no write was applied
    * ``drop``: the connection closes without a response, and nothing is applied
    * ``error``: 500 without that header, and nothing is applied
    * ``garbage``: 200 with a page that is not a response of the API
    * ``hang``: no response until the mode changes

    ``lose_answers`` applies writes and closes the connection. ``late_writes`` closes the connection
    and applies the write only when ``/faults/apply-late`` is called; ``late_updates`` does the same
    for writes to existing objects only.
    """

    mode: str = attrs.field(
        default="up",
        validator=attrs.validators.in_(["up", "refuse", "drop", "error", "garbage", "hang"]),
    )
    slow_ms: float = attrs.field(default=0, validator=NON_NEGATIVE)
    lose_answers: int = attrs.field(default=0, validator=COUNT)
    late_writes: int = attrs.field(default=0, validator=COUNT)
    late_updates: int = attrs.field(default=0, validator=COUNT)
    stale_reads: int = attrs.field(default=0, validator=COUNT)
    watch_gaps: int = attrs.field(default=0, validator=COUNT)
    throttle: int = attrs.field(default=0, validator=COUNT)

    def take(self, name: str) -> bool:
        """Tell whether the fault applies to this call, and decrement its count."""
        left = int(getattr(self, name))
        if left > 0:
            setattr(self, name, left - 1)
        return left != 0
