"""Random plans of a test with callers that send keys."""

import random

import attrs

from bench.limits._limit_plan import NodeEvent

NODES = 6
SECONDS = 20.0
FIRST_S = 2.0
EVENTS = ("kill", "freeze", "store", "turned away", "outage")
ENTRY_PATTERNS = ("spread", "one", "moving", "random")


@attrs.frozen(slots=True)
class Quota:
    """The rate limit and burst of a workspace."""

    per_s: float
    burst: float


@attrs.frozen(slots=True)
class WorkspacePlan:
    """Callers of three workspaces send requests through ``nodes`` nodes.

    The large workspace sends ``surge_factor`` times its quota, through nodes chosen by
    ``entry_pattern``. Its quota becomes ``changed_quota`` at ``changes_at_s``. The key of the third
    workspace is revoked at ``revoked_at_s``, and its callers go on using it.
    """

    seed: int
    entry_pattern: str
    surge_factor: float
    quota: Quota
    changed_quota: Quota
    changes_at_s: float
    revoked_at_s: float
    events: tuple[NodeEvent, ...]
    nodes: int = NODES
    seconds: float = SECONDS


def draw_plan(seed: int) -> WorkspacePlan:
    """Return the plan of a seed."""
    rng = random.Random(f"workspaces {seed}")
    per_s = rng.choice((5.0, 10.0, 20.0))
    quota = Quota(per_s, round(per_s * rng.choice((0.5, 1.0, 2.0))))
    return WorkspacePlan(
        seed=seed,
        entry_pattern=rng.choice(ENTRY_PATTERNS),
        surge_factor=rng.uniform(2.0, 5.0),
        quota=quota,
        changed_quota=attrs.evolve(quota, per_s=per_s * rng.choice((0.5, 1.0, 1.5))),
        changes_at_s=rng.uniform(6.0, 12.0),
        revoked_at_s=rng.uniform(4.0, 10.0),
        events=draw_events(rng),
    )


def draw_events(rng: random.Random) -> tuple[NodeEvent, ...]:
    """Return two to five fault events, which may overlap."""
    times = sorted(rng.uniform(FIRST_S, SECONDS - 5) for _ in range(rng.randint(2, 5)))
    return tuple(
        NodeEvent(at, rng.choice(EVENTS), rng.randrange(NODES), rng.uniform(1, 4)) for at in times
    )
