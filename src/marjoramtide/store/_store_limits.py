"""Client-side rate limits of one node at the store."""

import attrs


@attrs.frozen(slots=True)
class StoreLimits:
    """Rates in calls per second and bursts in calls; starting a watch counts as one read."""

    writes_per_s: float = 100.0
    write_burst: float = 50.0
    reads_per_s: float = 200.0
    read_burst: float = 100.0
