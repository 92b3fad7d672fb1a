"""The faults that the stand-in plays."""

import attrs

NUMBER = attrs.validators.and_(attrs.validators.instance_of((int, float)), attrs.validators.ge(0))
COUNT = attrs.validators.and_(attrs.validators.instance_of(int), attrs.validators.ge(-1))


@attrs.define(slots=True)
class Faults:
    """What goes wrong now. A count is used up call by call; ``-1`` stands for every call.

    ``mode`` is ``up``; ``refuse``: 503, marked as without effect; ``drop``: the connection closes
    without an answer and without effect; ``error``: 500, without effect, unmarked; ``garbage``: 200
    with a page that is no answer of the API; ``hang``: no answer until the mode changes.

    ``lose_answers`` applies writes and closes the connection. ``late_writes`` closes the connection
    first and applies the write only when ``/faults/apply-late`` is called; ``late_updates`` does so
    to writes of existing objects only.
    """

    mode: str = attrs.field(
        default="up",
        validator=attrs.validators.in_(["up", "refuse", "drop", "error", "garbage", "hang"]),
    )
    slow_ms: float = attrs.field(default=0, validator=NUMBER)
    lose_answers: int = attrs.field(default=0, validator=COUNT)
    late_writes: int = attrs.field(default=0, validator=COUNT)
    late_updates: int = attrs.field(default=0, validator=COUNT)
    stale_reads: int = attrs.field(default=0, validator=COUNT)
    watch_gaps: int = attrs.field(default=0, validator=COUNT)
    throttle: int = attrs.field(default=0, validator=COUNT)

    def take(self, name: str) -> bool:
        """Tell whether the counted fault hits this call, and use up one."""
        left = int(getattr(self, name))
        if left > 0:
            setattr(self, name, left - 1)
        return left != 0
