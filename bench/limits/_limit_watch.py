"""Checks whether a backend server got more requests than its announced rate limit allows."""

import bisect
from collections.abc import Iterable, Mapping, Sequence

import attrs

# Time after the first announcement from which a limit is enforced.
GRACE_S = 3.0
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
# Time after a node passed on the announcement from which the node must keep to the limit.
NOTIFICATION_GRACE_S = 0.5


@attrs.frozen(slots=True)
class AnnouncedRate:
    """The rate limit per second that a server announces from ``at`` on; ``None`` for no limit."""

    at: float
    per_s: float | None


@attrs.frozen(slots=True)
class ReceivedRequest:
    """A request that reached a server, and the node through which it entered."""

    at: float
    entry: str


@attrs.frozen(slots=True)
class FullestWindow:
    """The window with the largest excess over the allowed number of requests."""

    count: int
    allowed: float
    ends_at: float

    @property
    def excess(self) -> float:
        return self.count - self.allowed

    @property
    def is_within(self) -> bool:
        return self.excess <= 0


def allowed_between(rates: Sequence[AnnouncedRate], starts_at: float, ends_at: float) -> float:
    """Return the number of requests that the limits allow between two times, tolerance included.

    The first limit counts also for the time before it.
    """
    total = 0.0
    starts = [-float("inf"), *(rate.at for rate in rates[1:]), float("inf")]
    for rate, since, until in zip(rates, starts, starts[1:], strict=False):
        seconds = max(0.0, min(ends_at, until) - max(starts_at, since))
        total += seconds * (float("inf") if rate.per_s is None and seconds else rate.per_s or 0.0)
    return EXCESS * total + SLACK


def fullest_window(
    rates: Sequence[AnnouncedRate],
    requests: Iterable[ReceivedRequest],
    notified_at: Mapping[str, float],
) -> FullestWindow | None:
    """Return the window that exceeds its limit most, ``None`` if no limit is enforced.

    ``notified_at`` is when each node first passed on a response that announced the limit. A node
    that was restarted, suspended or partitioned counts as another node from then on.
    """
    binding_at = rates[0].at + GRACE_S
    considered = sorted(
        (each for each in requests if each.entry in notified_at), key=lambda each: each.at
    )
    times = [each.at for each in considered]
    windows = []
    for last, request in enumerate(considered):
        ends_at = request.at
        allowed = allowed_between(rates, ends_at - WINDOW_S, ends_at)
        if ends_at < binding_at or allowed == float("inf"):
            continue
        first = bisect.bisect_right(times, ends_at - WINDOW_S)
        count = sum(
            notified_at[each.entry] + NOTIFICATION_GRACE_S <= ends_at
            for each in considered[first : last + 1]
        )
        windows.append(FullestWindow(count, allowed, ends_at))
    return max(windows, key=lambda each: each.excess, default=None)
