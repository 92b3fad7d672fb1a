"""The requests that wait for a slot of one backend server."""

import attrs

from marjoramtide.policy.admission._sorted_queue import SortedQueue


@attrs.frozen(slots=True)
class QueueEntry:
    """A queued request: its class, its sort key within the class, and its latest start time."""

    urgent: bool
    key: float
    latest_start: float


@attrs.define(slots=True, eq=False, repr=False)
class RequestQueue:
    """Tickets of each class in start order, and all tickets by latest start time.

    The two orders differ. Failure: a request waits behind others that start before it because of
    their rank, and can no longer end in time, while the first of its class still can. If only the
    front of the queue were checked, it would wait until its deadline, and its caller would get no
    retry delay.
    """

    urgent: SortedQueue = attrs.Factory(SortedQueue)
    routine: SortedQueue = attrs.Factory(SortedQueue)
    by_latest_start: SortedQueue = attrs.Factory(SortedQueue)
    entries: dict[int, QueueEntry] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self.entries

    def of_class(self, urgent: bool) -> SortedQueue:
        """Return the tickets of a class, the next to start first."""
        return self.urgent if urgent else self.routine

    def add(self, ticket: int, entry: QueueEntry) -> None:
        self.entries[ticket] = entry
        self.of_class(entry.urgent).add(entry.key, ticket)
        self.by_latest_start.add(entry.latest_start, ticket)

    def remove(self, ticket: int) -> None:
        """Remove a queued ticket."""
        entry = self.entries.pop(ticket)
        self.of_class(entry.urgent).remove(entry.key, ticket)
        self.by_latest_start.remove(entry.latest_start, ticket)

    def ahead_of(self, urgent: bool, key: float) -> int:
        """Return how many requests would start before one with this class and key."""
        if urgent:
            return self.urgent.ahead_of(key)
        return len(self.urgent) + self.routine.ahead_of(key)

    def tickets(self) -> list[int]:
        """Return all tickets, the urgent ones first."""
        return [ticket for _, ticket in self.urgent.entries + self.routine.entries]
