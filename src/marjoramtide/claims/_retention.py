"""The retention time of claims."""

from marjoramtide.clock import Clock
from marjoramtide.settings import RouteSettings
from marjoramtide.store import ObjectStore

DISPATCH_WINDOW_S = 30.0
CLOCK_SKEW_S = 60.0


def retention_s(settings: RouteSettings) -> float:
    """Return for how many seconds a claim keeps its request from running again.

    At least the dispatch window, plus the longest duration of a request, plus ``CLOCK_SKEW_S`` in
    each direction for differences between the nodes' views of the store's time. With a shorter
    time, a second run could begin while the first is still in progress.
    """
    min_retention_s = DISPATCH_WINDOW_S + settings.max_timeout_ms / 1000 + 2 * CLOCK_SKEW_S
    return max(settings.claim_retention_s, min_retention_s)


def store_time(store: ObjectStore, clock: Clock) -> float:
    """Return the Unix time by which claims expire, which is that of the store's clock.

    By its own clock, a node that is a day ahead would take running claims for expired ones and run
    their requests again. The node's own clock is the fallback if the store reports no time.
    """
    wall = clock.wall()
    reported = store.time(wall)
    return wall if reported is None else reported
