"""A probe under way."""

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class Probe:
    """A question to one member, direct first and through helpers after ``indirect_at``.

    Times are in seconds of the monotonic clock. ``missing`` are the helpers that have neither
    confirmed the target nor said that they could not reach it.
    """

    target: int
    indirect_at: float
    fails_at: float
    has_asked_helpers: bool = False
    helpers: set[int] = attrs.field(factory=set)
    silent_helpers: set[int] = attrs.field(factory=set)


@attrs.frozen(slots=True)
class RelayedProbe:
    """A probe made for another member: whom to tell, under which number, until when."""

    requester: int
    number: int
    target: int
    expires_at: float
