"""What one node may ask of the store."""

import attrs


@attrs.frozen(slots=True)
class StoreLimits:
    """Rates in calls a second, bursts in calls; a watch counts as one read when it begins."""

    writes_per_s: float = 100.0
    write_burst: float = 50.0
    reads_per_s: float = 200.0
    read_burst: float = 100.0
