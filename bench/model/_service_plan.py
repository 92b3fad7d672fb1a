"""The backend servers of one service."""

import attrs

from bench.model._neighbours import Neighbours, between


@attrs.frozen(slots=True)
class ServicePlan:
    """How many servers there are in each data centre, and how one behaves.

    Work takes ``knee_factor`` times longer while more than ``knee`` of the slots are in use, and
    ``cold_factor`` times in the first ``cold_s`` seconds of a server. ``speeds`` is how far, as a
    share, servers differ. ``error_share`` of the requests fail at the end of their work.
    """

    name: str
    servers: tuple[int, ...]
    slots: int = attrs.field(default=10, validator=between(1, 1000))
    queue: int = attrs.field(default=36, validator=between(0, 10_000))
    knee: float = attrs.field(default=1.0, validator=between(0.05, 1.0))
    knee_factor: float = attrs.field(default=1.0, validator=between(1.0, 10.0))
    cold_s: float = attrs.field(default=0.0, validator=between(0.0, 60.0))
    cold_factor: float = attrs.field(default=1.0, validator=between(1.0, 10.0))
    speeds: float = attrs.field(default=0.0, validator=between(0.0, 0.9))
    error_share: float = attrs.field(default=0.0, validator=between(0.0, 1.0))
    neighbours: Neighbours = attrs.Factory(Neighbours)
