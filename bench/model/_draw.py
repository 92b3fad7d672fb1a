"""Random deployments, so that policies are not measured on one kind of fleet only."""

import math
import random

import attrs

from bench.model._call_plan import CallPlan
from bench.model._deployment import Deployment
from bench.model._fault_plan import DRAWN_FAULTS, FaultPlan
from bench.model._kind_plan import KindPlan
from bench.model._neighbours import Neighbours
from bench.model._service_plan import ServicePlan

# Ranges that deployments are drawn from. They reach far beyond the fleets that users run.
NODES = (2, 80)
SERVERS_IN_A_DATA_CENTRE = (1, 12)
WORK_MS = (5.0, 2000.0)
GOALS = (1.5, 6.0)
DEADLINES = (1.5, 4.0)
STRETCH_S = (0.05, 3.0)
FACTOR = (1.5, 10.0)
SHARE = (0.05, 0.5)
KNEE = (0.6, 1.0)
KNEE_FACTOR = (1.2, 2.5)
COLD_S = (0.0, 10.0)
COLD_FACTOR = (1.2, 4.0)
SLOTS = (4, 40)
LOAD = (0.2, 0.85)
# The time to simulate a deployment grows with its requests. Fleets are shrunk until their rate is
# at most ``MAX_RATE_PER_S``, and the duration gives ``REQUESTS`` requests, within ``SECONDS``.
MAX_RATE_PER_S = 250.0
REQUESTS = 1500
SECONDS = (10.0, 40.0)
MAX_FAULTS = 3


def draw_deployment(number: int) -> Deployment:
    """Return deployment ``number``; the same number always gives the same deployment."""
    rng = random.Random(f"deployment {number}")
    data_centres = rng.randint(1, 4)
    neighbours = draw_neighbours(rng)
    services = [draw_service(rng, n, data_centres, neighbours) for n in range(rng.randint(1, 3))]
    kinds = [
        kind for index in range(len(services)) for kind in draw_kinds(rng, index, len(services))
    ]
    load = rng.uniform(*LOAD)
    services, rate = fit_to_rate(services, kinds, load)
    seconds = min(SECONDS[1], max(SECONDS[0], REQUESTS / rate))
    return Deployment(
        name=f"drawn-{number}",
        data_centres=data_centres,
        services=tuple(services),
        kinds=tuple(kinds),
        rate_per_s=rate,
        seconds=seconds,
        hop_ms=rng.uniform(0.1, 3.0),
        caller_ms=rng.uniform(0.2, 8.0),
        swing=rng.uniform(0.0, 0.4),
        second_tries_per_s=max(2.0, 0.05 * rate),
        faults=tuple(draw_faults(rng, seconds)),
    )


def log_uniform(rng: random.Random, lowest: float, highest: float) -> float:
    """Draw a number whose logarithm is uniformly distributed."""
    return math.exp(rng.uniform(math.log(lowest), math.log(highest)))


def draw_neighbours(rng: random.Random) -> Neighbours:
    """Draw noisy neighbours; one deployment in five has none."""
    if rng.random() < 0.2:
        return Neighbours()
    return Neighbours(
        share=rng.uniform(*SHARE),
        factor=rng.uniform(*FACTOR),
        stretch_s=log_uniform(rng, *STRETCH_S),
        on_grid=rng.random() < 0.5,
    )


def draw_service(
    rng: random.Random, number: int, data_centres: int, neighbours: Neighbours
) -> ServicePlan:
    """Draw the servers of a service, the same number in each data centre or one more."""
    highest = min(SERVERS_IN_A_DATA_CENTRE[1], NODES[1] // (3 * data_centres))
    each = rng.randint(SERVERS_IN_A_DATA_CENTRE[0], max(1, highest))
    has_knee, is_cold = rng.random() < 0.7, rng.random() < 0.7
    slots = round(log_uniform(rng, *SLOTS))
    return ServicePlan(
        name=f"service-{number}",
        servers=tuple(max(1, each + rng.choice((0, 0, 1))) for _ in range(data_centres)),
        slots=slots,
        queue=2 * slots,
        knee=rng.uniform(*KNEE) if has_knee else 1.0,
        knee_factor=rng.uniform(*KNEE_FACTOR) if has_knee else 1.0,
        cold_s=rng.uniform(*COLD_S) if is_cold else 0.0,
        cold_factor=rng.uniform(*COLD_FACTOR) if is_cold else 1.0,
        speeds=rng.choice((0.0, 0.0, 0.2)),
        error_share=rng.choice((0.0, 0.002, 0.01)),
        neighbours=neighbours,
    )


def draw_kinds(rng: random.Random, index: int, services: int) -> list[KindPlan]:
    """Draw the request kinds of one service, and one kind that only nested requests use."""
    kinds = []
    typical_ms = log_uniform(rng, *WORK_MS)
    for number in range(rng.randint(1, 2)):
        work_ms = min(WORK_MS[1], typical_ms * rng.uniform(0.4, 2.5))
        goal_ms = work_ms * rng.uniform(*GOALS) + 20
        split = {f"service-{index}": 10}
        if services > 1 and rng.random() < 0.2:
            split[f"service-{(index + 1) % services}"] = rng.randint(1, 5)
        calls = ()
        if index + 1 < services and rng.random() < 0.5:
            calls = (
                CallPlan(
                    f"called-{index + 1}",
                    rng.randint(1, 2),
                    rng.uniform(0.3, 1.0),
                    rng.random() < 0.5,
                ),
            )
        rank = rng.randint(0, 3)
        kinds.append(
            KindPlan(
                name=f"kind-{index}-{number}",
                split=split,
                work_ms=work_ms,
                goal_ms=goal_ms,
                deadline_ms=goal_ms * rng.uniform(*DEADLINES),
                rate=rng.uniform(0.3, 3.0),
                spread=rng.uniform(0.1, 0.6),
                idempotent=rng.random() < 0.6,
                rank=rank,
                # The rank of a request tells what it is worth to callers.
                worth=max(1.0, 3.0 - rank),
                calls=calls,
            )
        )
    work_ms = typical_ms * rng.uniform(0.1, 0.3) + 2
    nested_kind = KindPlan(
        name=f"called-{index}",
        split={f"service-{index}": 1},
        work_ms=work_ms,
        goal_ms=3 * work_ms + 20,
        deadline_ms=12 * work_ms + 100,
        rank=rng.randint(0, 3),
    )
    return [*kinds, nested_kind]


def fit_to_rate(
    services: list[ServicePlan], kinds: list[KindPlan], load: float
) -> tuple[list[ServicePlan], float]:
    """Return services and a request rate that loads the busiest one to ``load``.

    The load is relative to the slots below the knee, in the time without slowdown by neighbours.
    Services are shrunk until the rate is at most ``MAX_RATE_PER_S``.
    """
    while True:
        rate = load * min(capacity(service) / demand(service, kinds) for service in services)
        if rate <= MAX_RATE_PER_S:
            return services, rate
        smaller = [shrink(service) for service in services]
        if smaller == services:
            return services, MAX_RATE_PER_S
        services = smaller


def shrink(service: ServicePlan) -> ServicePlan:
    """Return a service with half the slots, or half the servers once slots are at the minimum."""
    if service.slots > SLOTS[0]:
        return attrs.evolve(service, slots=max(SLOTS[0], service.slots // 2))
    return attrs.evolve(service, servers=tuple(max(1, count // 2) for count in service.servers))


def capacity(service: ServicePlan) -> float:
    """Return the seconds of work that a service can do per second."""
    usable = service.knee * service.slots * (1 - service.neighbours.share)
    return sum(service.servers) * max(1.0, usable)


def demand(service: ServicePlan, kinds: list[KindPlan]) -> float:
    """Return the seconds of work for a service per request, nested requests included."""
    rates = {kind.name: kind.rate for kind in kinds}
    total = sum(rates.values())
    for kind in kinds:
        for call in kind.calls:
            rates[call.kind] = rates.get(call.kind, 0.0) + kind.rate * call.times * call.share
    return (
        sum(
            rates[kind.name] / total * kind.work_ms / 1000 * weight / sum(kind.split.values())
            for kind in kinds
            for name, weight in kind.split.items()
            if name == service.name
        )
        or 1e-9
    )


def draw_faults(rng: random.Random, seconds: float) -> list[FaultPlan]:
    """Draw the faults of a deployment; one deployment in four has none."""
    if rng.random() < 0.25:
        return []
    return [
        draw_fault(rng, rng.choice(DRAWN_FAULTS), seconds)
        for _ in range(rng.randint(1, MAX_FAULTS))
    ]


def draw_fault(rng: random.Random, kind: str, seconds: float) -> FaultPlan:
    shares = {"restart": rng.choice((0.3, 1.0)), "leave": 0.25, "join": 0.3, "abuse": 0.3}
    factors = {
        "burst": rng.uniform(1.3, 2.0),
        "slow": rng.uniform(2.0, 8.0),
        "grey": rng.uniform(0.2, 0.8),
        "restart": rng.choice((1.0, 2.0)),
    }
    return FaultPlan(
        kind=kind,
        at_s=rng.uniform(0.1, 0.7) * seconds,
        for_s=rng.uniform(1.0, 4.0) if kind in ("restart", "crash") else rng.uniform(2.0, 8.0),
        share=shares.get(kind, rng.uniform(0.1, 0.4)),
        factor=factors.get(kind, 1.0),
    )
