"""Plans of the nodes and backend servers of a mesh."""

import itertools
from collections.abc import Mapping

import attrs

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall")


@attrs.frozen(slots=True)
class NodePlan:
    """One backend server with its node.

    ``deadly`` is the path of requests that crash the backend server while they run, or freeze it if
    ``deadly_freezes``. It accepts connections for ``deadly_lingers_ms`` before it exits.
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
    """Return backend servers of each service, assigned to the data centres in turn."""
    service_per_server = [service for service, count in services.items() for _ in range(count)]
    return [
        NodePlan(service, data_centre, slots, service_ms, seed)
        for seed, (service, data_centre) in enumerate(
            zip(service_per_server, itertools.cycle(DATA_CENTRES), strict=False), start=1
        )
    ]
