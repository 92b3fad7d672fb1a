"""How long claims are kept."""

from marjoramtide.settings import RouteSettings

DISPATCH_WINDOW_S = 30.0
CLOCK_SKEW_S = 60.0


def retention_s(settings: RouteSettings) -> float:
    """Return for how many seconds a claim keeps its request from running again.

    Never less than a holder may take until it dispatches and the request may last, with the wall
    clocks of two nodes ``CLOCK_SKEW_S`` apart each way: a shorter one would let a second run begin
    while the first is still going on.
    """
    shortest = DISPATCH_WINDOW_S + settings.max_timeout_ms / 1000 + 2 * CLOCK_SKEW_S
    return max(settings.claim_retention_s, shortest)
