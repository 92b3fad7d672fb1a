"""What one play of callers with keys consists of."""

import random

import attrs

from bench.limits._limit_plan import NodeEvent

NODES = 6
SECONDS = 20.0
FIRST_S = 2.0
EVENTS = ("kill", "freeze", "store", "turned away", "outage")
HOWS = ("spread", "one", "moving", "random")


@attrs.frozen(slots=True)
class Quota:
    """What a workspace may send, in requests a second and at once."""

    per_s: float
    burst: float


@attrs.frozen(slots=True)
class WorkspacePlan:
    """Callers of three workspaces come by ``nodes`` nodes, the large one ``how``.

    The large one comes at ``hot`` times its quota, which is ``later`` from ``changes_at_s`` on. The
    key of the third one is taken away at ``revoked_at_s``, and its callers go on with it.
    """

    seed: int
    how: str
    hot: float
    quota: Quota
    later: Quota
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
        how=rng.choice(HOWS),
        hot=rng.uniform(2.0, 5.0),
        quota=quota,
        later=attrs.evolve(quota, per_s=per_s * rng.choice((0.5, 1.0, 1.5))),
        changes_at_s=rng.uniform(6.0, 12.0),
        revoked_at_s=rng.uniform(4.0, 10.0),
        events=draw_events(rng),
    )


def draw_events(rng: random.Random) -> tuple[NodeEvent, ...]:
    """Return two to five events, which may overlap."""
    times = sorted(rng.uniform(FIRST_S, SECONDS - 5) for _ in range(rng.randint(2, 5)))
    return tuple(
        NodeEvent(at, rng.choice(EVENTS), rng.randrange(NODES), rng.uniform(1, 4)) for at in times
    )
