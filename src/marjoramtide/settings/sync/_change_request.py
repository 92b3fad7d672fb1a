"""A change requested by an operator."""

import uuid

import attrs

from marjoramtide.settings._edit import Edit


@attrs.frozen(slots=True, kw_only=True)
class ChangeRequest:
    """Edits, a complete new text, or an earlier revision to roll back to.

    ``base`` is the revision that the operator saw. ``change`` is the idempotency key of the change:
    a request that repeats it is the same change, never a second one. ``insist`` proceeds although
    members can't be reached; ``wait_s`` is how many seconds to wait until the change is in force.
    """

    author: str
    base: int
    edits: tuple[Edit, ...] = ()
    text: str | None = None
    rollback_to: int | None = None
    insist: bool = False
    wait_s: float = 30.0
    change: str = attrs.field(factory=lambda: uuid.uuid4().hex)
