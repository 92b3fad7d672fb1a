"""How long claims are kept."""

from marjoramtide.clock import Clock
from marjoramtide.settings import RouteSettings
from marjoramtide.store import ObjectStore

DISPATCH_WINDOW_S = 30.0
CLOCK_SKEW_S = 60.0


def retention_s(settings: RouteSettings) -> float:
    """Return for how many seconds a claim keeps its request from running again.

    Never less than a holder may take until it dispatches and the request may last, with what two
    nodes make of the store's time ``CLOCK_SKEW_S`` apart each way: a shorter one would let a second
    run begin while the first is still going on.
    """
    shortest = DISPATCH_WINDOW_S + settings.max_timeout_ms / 1000 + 2 * CLOCK_SKEW_S
    return max(settings.claim_retention_s, shortest)


def store_time(store: ObjectStore, clock: Clock) -> float:
    """Return the time by which claims end, in seconds since the epoch: the store's.

    By its own clock, a node that is a day ahead would take running claims for ended ones and run
    their requests again. The node's own serves where the store tells none.
    """
    wall = clock.wall()
    told = store.time(wall)
    return wall if told is None else told
