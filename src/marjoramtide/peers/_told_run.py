"""A run that another node has told of."""

import attrs


@attrs.frozen(slots=True)
class ReportedRequest:
    """A request that another node runs for one of its own callers.

    ``fingerprint`` tells whether it is the same as another one; ``heard_at`` is in seconds of this
    node's monotonic clock.
    """

    fingerprint: int
    heard_at: float
