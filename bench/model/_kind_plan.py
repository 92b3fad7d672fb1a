"""Requests of one kind."""

import attrs

from bench.model._call_plan import CallPlan
from bench.model._neighbours import between


@attrs.frozen(slots=True)
class KindPlan:
    """What callers ask for, how much work it is, and what an answer is worth to them.

    ``split`` shares requests out among services by weight. ``work_ms`` is the mean of undisturbed
    work and ``spread`` its deviation as a share of that. An answer within ``goal_ms`` of the first
    try is worth ``worth``, a later one ``late_worth``. ``rate`` is the kind's part of all
    requests; kinds with none are only called by others.
    """

    name: str
    split: dict[str, int]
    work_ms: float = attrs.field(validator=between(0.1, 60_000))
    goal_ms: float = attrs.field(validator=between(1, 600_000))
    deadline_ms: float = attrs.field(validator=between(1, 600_000))
    rate: float = attrs.field(default=0.0, validator=between(0.0, 1e6))
    spread: float = attrs.field(default=0.3, validator=between(0.0, 3.0))
    idempotent: bool = True
    rank: int = attrs.field(default=1, validator=between(0, 1000))
    worth: float = attrs.field(default=1.0, validator=between(0.0, 1000.0))
    late_worth: float = attrs.field(default=0.1, validator=between(0.0, 1000.0))
    retries: int = attrs.field(default=1, validator=between(0, 10))
    body_bytes: int = attrs.field(default=0, validator=between(0, 100_000_000))
    calls: tuple[CallPlan, ...] = ()
