"""The queued requests of one class."""

import bisect

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class SortedQueue:
    """Tickets in the order of a time, the earliest first.

    A sorted list instead of a heap, because admission asks how many are ahead of a time: a
    heap can't tell without reading all of it. Searching takes O(log n); inserting moves pointers
    within a list that ``queue_limit`` bounds.
    """

    entries: list[tuple[float, int]] = attrs.Factory(list)

    def __len__(self) -> int:
        return len(self.entries)

    def ahead_of(self, time: float) -> int:
        """Return how many would run before a request with this time."""
        return bisect.bisect_right(self.entries, (time, 1 << 62))

    def add(self, time: float, ticket: int) -> None:
        bisect.insort(self.entries, (time, ticket))

    def remove(self, time: float, ticket: int) -> None:
        """Remove an entry that is queued."""
        position = bisect.bisect_left(self.entries, (time, ticket))
        del self.entries[position]

    @property
    def first(self) -> int:
        """Return the ticket with the earliest time."""
        return self.entries[0][1]
