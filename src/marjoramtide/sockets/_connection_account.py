"""One account of what all connections of a port make this process keep."""

import heapq
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marjoramtide.sockets._bounded_connection import BoundedConnection

# Connections are looked at once these parts of the limit have come in or gone out since last time:
# by then at most so much more is held than was known.
CHECKS_PER_LIMIT = 16
# Connections are closed until this share is held, so that not each further byte closes one.
RELIEF = 0.8
# Looking for those that wait goes through all connections. So a part of them is closed at once, and
# where none has waited long enough, or memory stays short, the next look comes after a while.
BATCHES_PER_LIMIT = 64
LOOK_AGAIN_S = 0.05


class ConnectionAccount:
    """Bounds what all connections together hold, and closes those that waited longest.

    A bound for each connection is either too small for an ordinary caller or, times the number of
    connections, too large for the process. Here each may hold what it needs while all together
    stay within ``limit_bytes``. When they do not, those are closed first that have waited longest
    for their client: for the rest of a head or body, or for the client to read. An ordinary
    client's turn is a matter of milliseconds, so it is among the last.

    Nothing is counted for each request. ``moved`` adds up the bytes that came in or went out, and
    only after a part of the limit are the connections looked at.
    """

    def __init__(
        self, limit_bytes: int, connections: Callable[[], Iterable["BoundedConnection"]]
    ) -> None:
        self.limit_bytes = limit_bytes
        self.connections = connections
        self.check_bytes = max(1, limit_bytes // CHECKS_PER_LIMIT)
        self.moved_bytes = 0
        self.held_bytes = 0
        self.next_look_at = 0.0
        self.next_check_at = 0.0

    @property
    def is_full(self) -> bool:
        """Return whether more is held than allowed, also after all that wait were closed."""
        return self.held_bytes > self.limit_bytes

    def moved(self, size: int) -> None:
        """Add bytes that were received or are to be sent."""
        self.moved_bytes += size
        if self.moved_bytes >= self.check_bytes:
            self.check()

    def check(self) -> None:
        """Look at all connections, and close some if they hold too much together."""
        self.moved_bytes = 0
        held = {connection: connection.held_bytes() for connection in self.connections()}
        self.held_bytes = sum(held.values())
        if self.held_bytes <= self.limit_bytes:
            return
        waiting = [each for each in held if each.waiting_since is not None]
        for connection in sorted(waiting, key=lambda each: each.waiting_since or 0.0):
            if self.held_bytes <= self.limit_bytes * RELIEF:
                return
            connection.shed("all connections together hold too much memory")
            self.held_bytes -= held[connection]

    def recheck(self, now: float) -> bool:
        """Return whether it is still full, looked at anew at most each ``LOOK_AGAIN_S``."""
        if self.is_full and now >= self.next_check_at:
            self.next_check_at = now + LOOK_AGAIN_S
            self.check()
        return self.is_full

    def make_room(self, limit: int, min_wait_s: float, now: float) -> bool:
        """Close those of ``limit`` connections that have waited longest, for new ones.

        Returns false if none has waited for ``min_wait_s`` seconds for its client.
        """
        if now < self.next_look_at:
            return False
        waits = {
            each: each.waiting_since
            for each in self.connections()
            if each.waiting_since is not None and now - each.waiting_since >= min_wait_s
        }
        batch = max(1, limit // BATCHES_PER_LIMIT)
        for connection in heapq.nsmallest(batch, waits, key=waits.__getitem__):
            connection.shed("there are too many connections")
        if not waits:
            self.next_look_at = now + LOOK_AGAIN_S
        return bool(waits)
