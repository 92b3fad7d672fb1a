"""A request in flight that another node has reported."""

import attrs


@attrs.frozen(slots=True)
class ReportedRequest:
    """A request that another node runs for one of its own callers.

    ``fingerprint`` identifies equal requests; ``reported_at`` is a point of this node's monotonic
    clock, in seconds.
    """

    fingerprint: int
    reported_at: float
