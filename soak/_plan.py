"""The plan of a soak: its fleet, load and faults, the same for each run of a seed."""

import random

import attrs

from soak._fault import (
    CROWD_FAULTS,
    CROWDS,
    LINK_FAULTS,
    LINKS,
    PROCESS_FAULTS,
    SERVER_FAULTS,
    STORE,
    STORE_FAULTS,
    Fault,
)

SECONDS = 16.0
MIN_SERVER_FAULTS, MAX_SERVER_FAULTS = 6, 14
MIN_PROCESS_FAULTS, MAX_PROCESS_FAULTS = 2, 8
MAX_SPREAD_FAULTS = 3
MIN_LINK_FAULTS, MAX_LINK_FAULTS = 4, 12
MIN_CROWDS, MAX_CROWDS = 1, 4
ADDED_SHARE = 0.06
# With faults of the store there are enough nodes in two data centres that four of them watch, and
# the load lasts until the last change binds.
STORE_SERVICES = ("pay",) * 4 + ("up",) * 2 + ("board",) * 6
STORE_DATA_CENTRES, DATA_CENTRES = 2, 3
STORE_SECONDS = 40.0
STORE_ROUNDS_AT_S = (3.0, 15.0, 27.0)


@attrs.frozen(slots=True)
class SoakPlan:
    """A fleet with a number of hosts for each service, a load and overlapping faults.

    ``services`` holds the service of each host, which are spread over ``data_centres``. ``per_s``
    requests per second are sent for ``seconds``, each by a node that is drawn. A server that is
    full resets connections if ``resets_when_full``, and rejects requests otherwise.
    """

    seed: int
    services: tuple[str, ...]
    slots: int
    per_s: float
    seconds: float
    resets_when_full: bool
    faults: tuple[Fault, ...]
    data_centres: int = DATA_CENTRES

    @property
    def judges_changes(self) -> bool:
        """Return whether the store is disturbed, and what changes there is judged."""
        return any(fault.kind in STORE_FAULTS for fault in self.faults)


def draw_plan(
    seed: int, *, without: frozenset[str] = frozenset(), added: frozenset[str] = frozenset()
) -> SoakPlan:
    """Return the plan of a seed.

    Faults of the kinds in ``without`` are drawn and then left out. All servers have those in
    ``added`` in a small share of their requests for the whole load, besides what is drawn;
    ``links`` among them adds disturbed links between nodes, ``crowds`` clients outside the limits.
    ``store-access`` gives the plan of
    ``draw_store_plan``.
    """
    if STORE in added:
        return draw_store_plan(seed, without)
    rng = random.Random(f"soak {seed}")
    services = ("pay",) * rng.choice((1, 2, 3)) + ("up",) * rng.choice((1, 2)) + ("board",) * 2
    server_kinds = rng.choices(
        sorted(SERVER_FAULTS), k=rng.randint(MIN_SERVER_FAULTS, MAX_SERVER_FAULTS)
    )
    process_kinds = rng.choices(
        sorted(PROCESS_FAULTS), k=rng.randint(MIN_PROCESS_FAULTS, MAX_PROCESS_FAULTS)
    )
    faults = [draw_server_fault(rng, kind, len(services)) for kind in server_kinds]
    faults += [
        each
        for kind in rng.sample(sorted(SERVER_FAULTS), k=rng.randint(0, MAX_SPREAD_FAULTS))
        for each in draw_spread_fault(rng, kind, len(services))
    ]
    faults += [
        Fault(kind, 0.0, SECONDS, host, ADDED_SHARE)
        for kind in sorted(added - {LINKS, CROWDS})
        for host in range(len(services))
    ]
    faults += [draw_process_fault(rng, kind, len(services)) for kind in process_kinds]
    if LINKS in added:
        faults += draw_link_faults(random.Random(f"links {seed}"), len(services))
    if CROWDS in added:
        faults += draw_crowds(random.Random(f"crowds {seed}"), len(services))
    return SoakPlan(
        seed=seed,
        services=services,
        slots=rng.choice((3, 6, 9)),
        per_s=rng.uniform(60, 130),
        seconds=SECONDS,
        resets_when_full=rng.random() < 0.5,
        faults=tuple(
            sorted(
                (fault for fault in faults if fault.kind not in without),
                key=lambda fault: fault.at_s,
            )
        ),
    )


def draw_store_plan(seed: int, without: frozenset[str] = frozenset()) -> SoakPlan:
    """Return a plan in which those that read the store get no answer while its content changes.

    A move and an evacuation come in each round: while the store leaves the nodes without answers,
    between that and its successor, or after both.
    """
    rng = random.Random(f"store {seed}")
    hosts = len(STORE_SERVICES)
    faults: list[Fault] = []
    for at_s in STORE_ROUNDS_AT_S:
        for_s = rng.choice((0.4, 0.9, 2.0, 4.0))
        faults.append(Fault(rng.choice(sorted(STORE_FAULTS)), at_s, for_s))
        change_at_s = at_s + for_s * rng.choice((0.3, 0.95, 1.3)) + rng.uniform(0, 0.2)
        faults.append(Fault("move", change_at_s, 0.0))
        faults.append(Fault("evacuate", change_at_s + rng.uniform(0, 0.5), 8.5))
    kinds = rng.choices(("node-kill", "node-pause", "node-stop"), k=rng.randint(0, 3))
    faults += [
        Fault(kind, rng.uniform(1, STORE_SECONDS * 0.75), rng.uniform(0.3, 3), rng.randrange(hosts))
        for kind in kinds
    ]
    return SoakPlan(
        seed=seed,
        services=STORE_SERVICES,
        slots=6,
        per_s=rng.uniform(60, 100),
        seconds=STORE_SECONDS,
        resets_when_full=False,
        faults=tuple(
            sorted(
                (fault for fault in faults if fault.kind not in without),
                key=lambda fault: fault.at_s,
            )
        ),
        data_centres=STORE_DATA_CENTRES,
    )


def draw_server_fault(rng: random.Random, kind: str, hosts: int) -> Fault:
    """Return a fault of one server in the first three quarters of the load."""
    share = rng.choice((0.03, 0.1, 0.3, 0.6))
    return Fault(
        kind, rng.uniform(0, SECONDS * 0.75), rng.uniform(2, 6), rng.randrange(hosts), share
    )


def draw_spread_fault(rng: random.Random, kind: str, hosts: int) -> list[Fault]:
    """Return a fault of all servers at once, for a small share of their requests."""
    at_s, for_s = rng.uniform(0, SECONDS / 2), rng.uniform(4, 8)
    share = rng.choice((0.03, 0.06, 0.15))
    return [Fault(kind, at_s, for_s, host, share) for host in range(hosts)]


def draw_link_faults(rng: random.Random, hosts: int) -> list[Fault]:
    """Return disturbances of the links to single nodes."""
    return [
        draw_process_fault(rng, rng.choice(sorted(LINK_FAULTS)), hosts)
        for _ in range(rng.randint(MIN_LINK_FAULTS, MAX_LINK_FAULTS))
    ]


def draw_process_fault(rng: random.Random, kind: str, hosts: int) -> Fault:
    """Return a fault from outside, in the middle of the load."""
    return Fault(kind, rng.uniform(1, SECONDS * 0.75), rng.uniform(0.3, 3), rng.randrange(hosts))


def draw_crowds(rng: random.Random, hosts: int) -> list[Fault]:
    """Draw crowds of clients outside the limits, each at one node."""
    kinds = rng.choices(sorted(CROWD_FAULTS), k=rng.randint(MIN_CROWDS, MAX_CROWDS))
    return [
        Fault(kind, rng.uniform(0, SECONDS * 0.7), rng.uniform(1, 4), rng.randrange(hosts))
        for kind in kinds
    ]
