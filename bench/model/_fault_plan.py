"""A fault or change of a simulated deployment."""

import attrs

from bench.model._neighbours import between

# Kinds of randomly drawn faults. Adding one would change every drawn deployment.
DRAWN_FAULTS = (
    "burst",
    "shift",
    "abuse",
    "slow",
    "grey",
    "crash",
    "leave",
    "join",
    "restart",
    "lossy",
)
FAULTS = (*DRAWN_FAULTS, "limit")


@attrs.frozen(slots=True)
class FaultPlan:
    """A fault from ``at_s`` on; the simulation's seed decides which servers or nodes it affects.

    ``burst``: ``factor`` times the traffic. ``shift``: a ``share`` of the callers of the first
    data centre use the last one instead. ``abuse``: a ``share`` of the callers retry several times
    without delay. ``slow``: a ``share`` of the servers take ``factor`` times as long. ``grey``: a
    ``share`` of the servers fail a share ``factor`` of their requests. ``crash``: a ``share`` of
    the servers are down for ``for_s`` and restart cold. ``leave``: a ``share`` of the servers drain
    and leave for good. ``join``: new servers are added, as many as the ``share`` gives.
    ``restart``: a ``share`` of the nodes crash at the same time and restart after ``for_s``; with
    a ``factor`` above 1 their servers do too. ``lossy``: a ``share`` of the load reports between
    nodes is lost. ``limit``: a ``share`` of the servers announce a rate limit of ``factor``
    requests per second.
    """

    kind: str = attrs.field(validator=attrs.validators.in_(FAULTS))
    at_s: float = attrs.field(validator=between(0.0, 3600.0))
    for_s: float = attrs.field(default=5.0, validator=between(0.0, 3600.0))
    share: float = attrs.field(default=0.15, validator=between(0.0, 1.0))
    factor: float = attrs.field(default=1.0, validator=between(0.0, 20.0))
    service: str = ""
