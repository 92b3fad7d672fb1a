"""The crash rate of the backend servers of a service."""

from collections import Counter, OrderedDict
from collections.abc import Container

# The period over which crashes are counted, in seconds. Long enough for a server to restart and
# crash again a few times, short enough that a past outage no longer excuses any request.
WINDOW_S = 60.0
# The maximum number of crashes kept; more within a minute add no information.
MAX_CRASHES_KEPT = 1024


class RecentCrashes:
    """The crashes of servers of the last minute, by their numbers."""

    def __init__(self) -> None:
        self.crashes: OrderedDict[int, float] = OrderedDict()

    def add(self, number: int, crashed_at: float) -> None:
        """Record a crash; duplicates count once."""
        if number not in self.crashes:
            self.crashes[number] = crashed_at
        if len(self.crashes) > MAX_CRASHES_KEPT:
            self.crashes.popitem(last=False)

    def rate(self, server_count: int, now: float, without: Container[int]) -> float:
        """Return the crashes per second of one of the servers, leaving out some crashes.

        One crash is added to those seen: that none was seen within a minute does not mean that none
        ever occurs. Within one second at most one crash per server counts. Failure without that:
        half of the nodes are lost, each of the rest numbers crashes itself and reports each of
        them, and with so many crashes a request that crashes servers looks like one that was there
        by chance.
        """
        since = now - WINDOW_S
        while self.crashes and next(iter(self.crashes.values())) < since:
            self.crashes.popitem(last=False)
        seconds = Counter(int(at) for number, at in self.crashes.items() if number not in without)
        others = sum(min(count, server_count) for count in seconds.values())
        return (others + 1) / (WINDOW_S * max(1, server_count))
