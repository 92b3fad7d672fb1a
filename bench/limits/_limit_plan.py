"""What one play of servers that name limits consists of."""

import math
import random

import attrs

NODES = 5
SECONDS = 20.0
FIRST_S = 3.0
SHAPES = ("one", "some", "all")
EVENTS = ("kill", "freeze", "store")
LEAST_PER_S, MOST_PER_S = 0.5, 12.0


@attrs.frozen(slots=True)
class LimitChange:
    """From a time on, in seconds, the limited servers name another rate; ``None`` for none."""

    at_s: float
    per_s: float | None


@attrs.frozen(slots=True)
class NodeEvent:
    """A node is killed and started, stopped for ``for_s``, or the store is away for so long."""

    at_s: float
    kind: str
    node: int
    for_s: float


@attrs.frozen(slots=True)
class LimitPlan:
    """A fleet of ``nodes`` nodes whose first ``limited`` servers name a limit.

    ``flickers`` where each answer names it or doesn't, by chance, for a second at each change.
    ``leaves_at_s`` is when the last server says that it leaves, ``None`` where none does.
    """

    seed: int
    limited: int
    changes: tuple[LimitChange, ...]
    events: tuple[NodeEvent, ...]
    health_states: bool
    flickers: bool
    leaves_at_s: float | None
    nodes: int = NODES
    seconds: float = SECONDS
    per_s: float = 80.0
    service_ms: float = 160.0


def draw_plan(seed: int, shape: str, *, with_events: bool = True) -> LimitPlan:
    """Return the plan of a seed, with one, some or all servers limited."""
    rng = random.Random(f"{seed} {shape}")
    limited = {"one": 1, "some": 3, "all": NODES}[shape]
    return LimitPlan(
        seed=seed,
        limited=limited,
        changes=draw_changes(rng),
        events=draw_events(rng) if with_events else (),
        health_states=rng.random() < 0.5,
        flickers=rng.random() < 0.3,
        leaves_at_s=rng.uniform(FIRST_S, SECONDS - 8) if shape != "all" else None,
    )


def draw_changes(rng: random.Random) -> tuple[LimitChange, ...]:
    """Return a limit that stays, rises, falls or ends."""
    rate = draw_rate(rng)
    first = LimitChange(FIRST_S, rate)
    match rng.choice(("stays", "rises", "falls", "ends")):
        case "rises":
            return first, LimitChange(rng.uniform(8.0, 12.0), round(rate * 2, 2))
        case "falls":
            return first, LimitChange(rng.uniform(8.0, 12.0), round(rate / 2, 2))
        case "ends":
            return first, LimitChange(rng.uniform(10.0, 14.0), None)
    return (first,)


def draw_rate(rng: random.Random) -> float:
    spread = math.log(MOST_PER_S / LEAST_PER_S)
    return round(LEAST_PER_S * math.exp(rng.random() * spread), 2)


def draw_events(rng: random.Random) -> tuple[NodeEvent, ...]:
    """Return up to three events; the first one strikes beside the first, limited server."""
    times = sorted(rng.uniform(FIRST_S, SECONDS - 4) for _ in range(rng.randint(1, 3)))
    return tuple(
        NodeEvent(at, rng.choice(EVENTS), rng.randrange(NODES) if number else 0, rng.uniform(1, 3))
        for number, at in enumerate(times)
    )
