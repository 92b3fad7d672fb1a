"""A change that an operator asks for."""

import uuid

import attrs

from marjoramtide.settings._edit import Edit


@attrs.frozen(slots=True, kw_only=True)
class ChangeRequest:
    """Edits, a whole new text, or an earlier revision to go back to.

    ``base`` is the revision that the operator looked at. ``change`` names this change for good: a
    repetition with the same one is the same change, never a second one. ``insist`` goes on although
    members can't be reached; ``wait_s`` is for how many seconds to wait until it is in force.
    """

    author: str
    base: int
    edits: tuple[Edit, ...] = ()
    text: str | None = None
    rollback_to: int | None = None
    insist: bool = False
    wait_s: float = 30.0
    change: str = attrs.field(factory=lambda: uuid.uuid4().hex)
