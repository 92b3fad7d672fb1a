"""A kind of requests."""

import attrs

from bench.model._call_plan import CallPlan
from bench.model._neighbours import between


@attrs.frozen(slots=True)
class KindPlan:
    """Requests that need similar work, and the value of a response to their callers.

    ``split`` distributes requests among services by weight. ``work_ms`` is the mean execution time
    without slowdown, and ``spread`` its standard deviation as a share of the mean. A response
    within ``goal_ms`` of the first attempt counts as ``worth``, a later one as ``late_worth``.
    ``rate`` is the kind's weight among all requests; kinds of rate 0 are used only by nested
    requests.
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
