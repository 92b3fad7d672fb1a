"""Description of a deployment to simulate."""

import attrs

from bench.model._fault_plan import FaultPlan
from bench.model._kind_plan import KindPlan
from bench.model._neighbours import between
from bench.model._service_plan import ServicePlan


@attrs.frozen(slots=True)
class Deployment:
    """Services, request kinds and faults; ``rate_per_s`` is the rate of all data centres together.

    ``hop_ms`` is the one-way latency between two data centres and ``caller_ms`` that between a
    caller and its node. The rate varies as a sine of relative amplitude ``swing`` around the mean.
    ``second_try_ratio`` and ``second_tries_per_s`` bound the attempts of all nodes together beyond
    the first attempt of each request.
    """

    name: str
    data_centres: int = attrs.field(validator=between(1, 10))
    services: tuple[ServicePlan, ...]
    kinds: tuple[KindPlan, ...]
    rate_per_s: float = attrs.field(validator=between(0.1, 100_000))
    seconds: float = attrs.field(default=20.0, validator=between(1.0, 3600.0))
    hop_ms: float = attrs.field(default=0.9, validator=between(0.0, 200.0))
    caller_ms: float = attrs.field(default=3.0, validator=between(0.0, 200.0))
    swing: float = attrs.field(default=0.15, validator=between(0.0, 0.9))
    second_try_ratio: float = attrs.field(default=0.2, validator=between(0.0, 5.0))
    second_tries_per_s: float = attrs.field(default=6.0, validator=between(0.0, 1e5))
    faults: tuple[FaultPlan, ...] = ()

    @property
    def nodes(self) -> int:
        """Return the number of nodes, one for each server."""
        return sum(sum(service.servers) for service in self.services)

    def kind(self, name: str) -> KindPlan:
        """Return the request kind with this name."""
        return next(kind for kind in self.kinds if kind.name == name)
