"""Random plans of a test with servers that announce rate limits."""

import math
import random

import attrs

NODES = 5
SECONDS = 20.0
FIRST_S = 3.0
SHAPES = ("one", "some", "all")
EVENTS = ("kill", "freeze", "store")
MIN_PER_S, MAX_PER_S = 0.5, 12.0


@attrs.frozen(slots=True)
class LimitChange:
    """From ``at_s`` on the limited servers announce another rate, ``None`` for no limit."""

    at_s: float
    per_s: float | None


@attrs.frozen(slots=True)
class NodeEvent:
    """A node is restarted or suspended, or the store is down, for ``for_s`` seconds."""

    at_s: float
    kind: str
    node: int
    for_s: float


@attrs.frozen(slots=True)
class LimitPlan:
    """A fleet of ``nodes`` nodes whose first ``limited`` servers announce a rate limit.

    With ``flickers`` responses announce the old or the new limit at random for a second after each
    change. ``leaves_at_s`` is when the last server announces that it leaves, ``None`` for never.
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
    """Return the plan of a seed; ``shape`` tells whether one, some or all servers are limited."""
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
    """Return a limit that stays, rises, falls or is withdrawn."""
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
    log_range = math.log(MAX_PER_S / MIN_PER_S)
    return round(MIN_PER_S * math.exp(rng.random() * log_range), 2)


def draw_events(rng: random.Random) -> tuple[NodeEvent, ...]:
    """Return up to three events; the first one affects the first node, whose server is limited."""
    times = sorted(rng.uniform(FIRST_S, SECONDS - 4) for _ in range(rng.randint(1, 3)))
    return tuple(
        NodeEvent(at, rng.choice(EVENTS), rng.randrange(NODES) if number else 0, rng.uniform(1, 3))
        for number, at in enumerate(times)
    )
