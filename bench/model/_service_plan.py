"""The backend servers of one service."""

import attrs

from bench.model._neighbours import Neighbours, between


@attrs.frozen(slots=True)
class ServicePlan:
    """The number of servers in each data centre, and the behaviour of one server.

    Work takes ``knee_factor`` times longer while more than a share ``knee`` of the slots is in use,
    and ``cold_factor`` times longer in the first ``cold_s`` seconds of a server. The speeds of
    servers differ by up to a share ``speeds`` in either direction. A share ``error_share`` of the
    requests fails at the end of its work.
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
