"""The plan of a soak: its fleet, load and faults, the same for each run of a seed."""

import random

import attrs

from soak._fault import LINK_FAULTS, LINKS, PROCESS_FAULTS, SERVER_FAULTS, Fault

SECONDS = 16.0
MIN_SERVER_FAULTS, MAX_SERVER_FAULTS = 6, 14
MIN_PROCESS_FAULTS, MAX_PROCESS_FAULTS = 2, 8
MAX_SPREAD_FAULTS = 3
MIN_LINK_FAULTS, MAX_LINK_FAULTS = 4, 12
ADDED_SHARE = 0.06


@attrs.frozen(slots=True)
class SoakPlan:
    """A fleet with a number of hosts for each service, a load and overlapping faults.

    ``services`` holds the service of each host. ``per_s`` requests per second are sent for
    ``seconds``, each by a node that is drawn. A server that is full resets connections if
    ``resets_when_full``, and rejects requests otherwise.
    """

    seed: int
    services: tuple[str, ...]
    slots: int
    per_s: float
    seconds: float
    resets_when_full: bool
    faults: tuple[Fault, ...]


def draw_plan(
    seed: int, *, without: frozenset[str] = frozenset(), added: frozenset[str] = frozenset()
) -> SoakPlan:
    """Return the plan of a seed.

    Faults of the kinds in ``without`` are drawn and then left out. All servers have those in
    ``added`` in a small share of their requests for the whole load, besides what is drawn;
    ``links`` among them adds disturbed links between nodes.
    """
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
        for kind in sorted(added - {LINKS})
        for host in range(len(services))
    ]
    faults += [draw_process_fault(rng, kind, len(services)) for kind in process_kinds]
    if LINKS in added:
        faults += draw_link_faults(random.Random(f"links {seed}"), len(services))
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
