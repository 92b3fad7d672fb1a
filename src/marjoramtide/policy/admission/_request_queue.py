"""The requests that wait for a slot of one backend server."""

import attrs

from marjoramtide.policy.admission._sorted_queue import SortedQueue


@attrs.frozen(slots=True)
class Place:
    """Where a request stands: its class, its order there, and by when it must start."""

    urgent: bool
    order: float
    starts_by: float


@attrs.define(slots=True, eq=False, repr=False)
class RequestQueue:
    """Tickets by class in the order in which they start, and all by when they must start.

    The two differ. Failure: a request waits behind others that start before it by their rank, and
    can no longer end in time, while the first of its class still can. Looked for at the front
    alone, it waits until its deadline, and its caller is not told when to come back.
    """

    urgent: SortedQueue = attrs.Factory(SortedQueue)
    routine: SortedQueue = attrs.Factory(SortedQueue)
    by_start: SortedQueue = attrs.Factory(SortedQueue)
    places: dict[int, Place] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self.places)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self.places

    def of(self, urgent: bool) -> SortedQueue:
        """Return the tickets of a class, the next to start first."""
        return self.urgent if urgent else self.routine

    def add(self, ticket: int, place: Place) -> None:
        self.places[ticket] = place
        self.of(place.urgent).add(place.order, ticket)
        self.by_start.add(place.starts_by, ticket)

    def remove(self, ticket: int) -> None:
        """Remove a ticket that waits."""
        place = self.places.pop(ticket)
        self.of(place.urgent).remove(place.order, ticket)
        self.by_start.remove(place.starts_by, ticket)

    def ahead_of(self, urgent: bool, order: float) -> int:
        """Return how many would start before one with this place in the order."""
        if urgent:
            return self.urgent.ahead_of(order)
        return len(self.urgent) + self.routine.ahead_of(order)

    def tickets(self) -> list[int]:
        """Return all tickets, the urgent ones first."""
        return [ticket for _, ticket in self.urgent.entries + self.routine.entries]
