"""How often backend servers of a service end."""

from collections import Counter, OrderedDict
from collections.abc import Container

# Over how long ends are counted, in seconds. Long enough for a server to be back and end again a
# few times, short enough that an outage that is over no longer excuses anybody.
WINDOW_S = 60.0
# Ends that are kept; more in a minute say no more than that servers end all the time.
MAX_CRASHES_KEPT = 1024


class RecentCrashes:
    """The ends of servers of the last minute, by their numbers."""

    def __init__(self) -> None:
        self.crashes: OrderedDict[int, float] = OrderedDict()

    def add(self, number: int, ended_at: float) -> None:
        """Note an end; the same one twice counts once."""
        if number not in self.crashes:
            self.crashes[number] = ended_at
        if len(self.crashes) > MAX_CRASHES_KEPT:
            self.crashes.popitem(last=False)

    def rate(self, server_count: int, now: float, without: Container[int]) -> float:
        """Return how often one of so many servers ends, a second, leaving out some ends.

        One end more than were seen is reckoned with: that none was seen in a minute does not mean
        that none ever comes. In one second no more count than there are servers. Failure without
        that: half of the nodes are lost, each of the rest that numbers ends by itself tells of each
        of them, and by so many ends a request that ends servers passes for one that meets them.
        """
        since = now - WINDOW_S
        while self.crashes and next(iter(self.crashes.values())) < since:
            self.crashes.popitem(last=False)
        seconds = Counter(int(at) for number, at in self.crashes.items() if number not in without)
        others = sum(min(count, server_count) for count in seconds.values())
        return (others + 1) / (WINDOW_S * max(1, server_count))
