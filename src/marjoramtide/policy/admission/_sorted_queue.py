"""A sorted queue of tickets."""

import bisect

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class SortedQueue:
    """Tickets sorted by a key, the smallest first.

    A sorted list instead of a heap, because admission asks how many entries are ahead of a key,
    which a heap can only answer by reading all of it. Searching takes O(log n); inserting moves
    pointers within a list that ``queue_limit`` bounds.
    """

    entries: list[tuple[float, int]] = attrs.Factory(list)

    def __len__(self) -> int:
        return len(self.entries)

    def ahead_of(self, key: float) -> int:
        """Return how many entries would run before a request with this key."""
        return bisect.bisect_right(self.entries, (key, 1 << 62))

    def add(self, key: float, ticket: int) -> None:
        bisect.insort(self.entries, (key, ticket))

    def remove(self, key: float, ticket: int) -> None:
        """Remove an entry, which must exist."""
        position = bisect.bisect_left(self.entries, (key, ticket))
        del self.entries[position]

    @property
    def first(self) -> int:
        """Return the ticket with the smallest key."""
        return self.entries[0][1]
