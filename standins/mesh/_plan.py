"""What a mesh consists of."""

import itertools
from collections.abc import Mapping

import attrs

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall")


@attrs.frozen(slots=True)
class NodePlan:
    """One backend server with its node.

    ``deadly`` is the path of requests that end the backend server while it runs them, or freeze it.
    It goes on taking connections for ``deadly_lingers_ms`` while it ends.
    """

    service: str
    data_centre: str
    slots: int = 10
    service_ms: float = 20.0
    seed: int = 1
    connections: int = 250
    deadly: str = ""
    deadly_lingers_ms: float = 0.0
    deadly_freezes: bool = False


def make_plan(
    services: Mapping[str, int], slots: int = 10, service_ms: float = 20.0
) -> list[NodePlan]:
    """Return backend servers of each service, spread over the data centres in turn."""
    wanted = [service for service, count in services.items() for _ in range(count)]
    return [
        NodePlan(service, data_centre, slots, service_ms, seed)
        for seed, (service, data_centre) in enumerate(
            zip(wanted, itertools.cycle(DATA_CENTRES), strict=False), start=1
        )
    ]
