"""Probes that wait for an ack."""

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class Probe:
    """A probe of one member, direct at first and through helpers from ``indirect_at`` on.

    Times are in seconds of the monotonic clock. ``silent_helpers`` are the helpers that have sent
    neither an ack nor a nack.
    """

    target: int
    indirect_at: float
    fails_at: float
    has_asked_helpers: bool = False
    helpers: set[int] = attrs.field(factory=set)
    silent_helpers: set[int] = attrs.field(factory=set)


@attrs.frozen(slots=True)
class RelayedProbe:
    """A probe that this node makes as a helper; ``number`` is the probe number of the requester."""

    requester: int
    number: int
    target: int
    expires_at: float
