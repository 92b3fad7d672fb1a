"""The users' sites at their real sizes."""

import itertools
from typing import Any

import attrs


@attrs.frozen(slots=True)
class Service:
    """A service and the properties of its backend servers; ``service_ms`` is a median."""

    name: str
    backends: int
    slots: int
    connections: int
    service_ms: float


@attrs.frozen(slots=True)
class Site:
    """A user's services, region, data centres and settings of the root branch."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    services: tuple[Service, ...]
    settings: dict[str, Any]

    def placements(self) -> list[tuple[Service, int, str]]:
        """Return service, number and data centre of each server, data centres in turn."""
        numbered_services = (
            (service, n) for service in self.services for n in range(service.backends)
        )
        return [
            (service, number, data_centre)
            for (service, number), data_centre in zip(
                numbered_services, itertools.cycle(self.data_centres)
            )
        ]


VATULELE = Site(
    name="vatulele",
    region="viti-west",
    data_centres=("nadi-hall", "lautoka-hall", "sigatoka-hall"),
    services=(
        Service("mapdesk", backends=10, slots=10, connections=250, service_ms=80),
        Service("licencehub", backends=3, slots=10, connections=250, service_ms=80),
    ),
    settings={"measuring_per_s": 1.0, "hedge_budget": 0.05},
)
SABARMATI = Site(
    name="sabarmati",
    region="ahmedabad",
    data_centres=("navrangpura", "gift-city", "sanand"),
    services=(
        Service("case-desk", backends=6, slots=20, connections=200, service_ms=100),
        Service("claims-ledger", backends=3, slots=20, connections=200, service_ms=100),
    ),
    settings={"measuring_per_s": 0.5, "measuring_share": 0.004, "hedge_budget": 0.02},
)
SITES = {site.name: site for site in (VATULELE, SABARMATI)}
