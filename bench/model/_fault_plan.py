"""Something that goes wrong, or changes, at a time of a played day."""

import attrs

from bench.model._neighbours import between

# Those that are drawn; adding one would change every drawn deployment.
DRAWN = ("burst", "shift", "abuse", "slow", "grey", "crash", "leave", "join", "restart", "lossy")
FAULTS = (*DRAWN, "limit")


@attrs.frozen(slots=True)
class FaultPlan:
    """An entry of the day; which servers or nodes it strikes is drawn by the day's seed.

    ``burst``: ``factor`` times the traffic. ``shift``: a ``share`` of the callers of the first
    data centre go to the last one. ``abuse``: a ``share`` of the callers come back ``factor``
    times more, at once. ``slow``: a ``share`` of the servers take ``factor`` times as long.
    ``grey``: they fail ``factor`` of what they are given. ``crash``: they are gone for ``for_s``
    and come back cold. ``leave``: they drain and leave for good. ``join``: as many new ones come.
    ``restart``: a ``share`` of the nodes end at one moment and begin anew after ``for_s``; with
    ``factor`` above 1 their servers too. ``lossy``: a ``share`` of the news between nodes is lost.
    ``limit``: a ``share`` of the servers name ``factor`` requests a second as their limit.
    """

    kind: str = attrs.field(validator=attrs.validators.in_(FAULTS))
    at_s: float = attrs.field(validator=between(0.0, 3600.0))
    for_s: float = attrs.field(default=5.0, validator=between(0.0, 3600.0))
    share: float = attrs.field(default=0.15, validator=between(0.0, 1.0))
    factor: float = attrs.field(default=1.0, validator=between(0.0, 20.0))
    service: str = ""
