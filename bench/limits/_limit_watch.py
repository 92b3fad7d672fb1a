"""Whether a backend server got no more than the limit that it had named allows."""

import bisect
from collections.abc import Iterable, Mapping, Sequence

import attrs

# A limit binds from so long after it was first named, in seconds.
GRACE_S = 3.0
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
# A node is bound by an answer that it passed on so long before, in seconds.
TOLD_S = 0.5


@attrs.frozen(slots=True)
class AnnouncedRate:
    """What a server names from a time on, in requests a second; ``None`` for no limit."""

    at: float
    per_s: float | None


@attrs.frozen(slots=True)
class ReceivedRequest:
    """A request that reached a server, and the node at which it began."""

    at: float
    entry: str


@attrs.frozen(slots=True)
class FullestWindow:
    """The window that comes closest to what is allowed, or exceeds it by most."""

    count: int
    allowed: float
    ends_at: float

    @property
    def excess(self) -> float:
        return self.count - self.allowed

    @property
    def is_within(self) -> bool:
        return self.excess <= 0


def allowed_between(rates: Sequence[AnnouncedRate], begins: float, ends: float) -> float:
    """Return what the limits in force between two times allow, all the excess included.

    Before the first one as much as the first one.
    """
    total = 0.0
    starts = [-float("inf"), *(rate.at for rate in rates[1:]), float("inf")]
    for rate, since, until in zip(rates, starts, starts[1:], strict=False):
        seconds = max(0.0, min(ends, until) - max(begins, since))
        total += seconds * (float("inf") if rate.per_s is None and seconds else rate.per_s or 0.0)
    return EXCESS * total + SLACK


def fullest_window(
    rates: Sequence[AnnouncedRate], requests: Iterable[ReceivedRequest], told: Mapping[str, float]
) -> FullestWindow | None:
    """Return the window that exceeds its limit by most, ``None`` where none binds.

    ``told`` is when each node had first passed on an answer that named the limit. A node that was
    started anew, stopped or cut off counts as another one from then on.
    """
    binding = rates[0].at + GRACE_S
    counted = sorted((each for each in requests if each.entry in told), key=lambda each: each.at)
    times = [each.at for each in counted]
    windows = []
    for last, request in enumerate(counted):
        ends = request.at
        allowed = allowed_between(rates, ends - WINDOW_S, ends)
        if ends < binding or allowed == float("inf"):
            continue
        first = bisect.bisect_right(times, ends - WINDOW_S)
        count = sum(told[each.entry] + TOLD_S <= ends for each in counted[first : last + 1])
        windows.append(FullestWindow(count, allowed, ends))
    return max(windows, key=lambda each: each.excess, default=None)
