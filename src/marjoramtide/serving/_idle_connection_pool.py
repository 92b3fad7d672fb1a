"""Connections to the backend server that wait for the next request."""

import asyncio

from marjoramtide.clock import Clock
from marjoramtide.serving._backend_connection import BackendConnection

# Shorter than servers commonly keep an idle connection, so that a request seldom meets a close.
KEEP_ALIVE_S = 4.0
# By how much sooner than the server a connection is given up, in seconds.
AHEAD_S = 0.5


class IdleConnectionPool:
    """Keeps each for as long as the server has said that it does, or ``KEEP_ALIVE_S``.

    Failure: a server closes idle connections after a second and says so in its answers. A booking
    that is sent at that moment meets the close, nobody knows whether it ran, and its caller is told
    so. Given up half a second sooner here, a connection isn't used any more when that may be.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # The one used last stands last and is taken first.
        self.connections: list[BackendConnection] = []
        self.sweeper: asyncio.TimerHandle | None = None

    def keep(self, connection: BackendConnection) -> None:
        """Keep a connection for the next request, for some seconds."""
        told_s = connection.told_idle_s
        kept_s = KEEP_ALIVE_S if told_s is None else min(KEEP_ALIVE_S, told_s - AHEAD_S)
        if kept_s <= 0:
            connection.abort()
            return
        connection.idle_until = self.clock.monotonic() + kept_s
        self.connections.append(connection)
        if self.sweeper is None:
            self.sweeper = asyncio.get_running_loop().call_later(kept_s, self.sweep)

    def take(self) -> BackendConnection | None:
        """Return the one that was used last, ``None`` where there is none."""
        now = self.clock.monotonic()
        while self.connections:
            connection = self.connections.pop()
            if connection.idle_until <= now:
                connection.abort()
            elif connection.usable:
                return connection
        return None

    def drop(self, connection: BackendConnection) -> None:
        """Forget a connection that has ended."""
        if connection in self.connections:
            self.connections.remove(connection)

    def sweep(self) -> None:
        """Close the connections whose time is over."""
        self.sweeper = None
        now = self.clock.monotonic()
        stale = [each for each in self.connections if each.idle_until <= now]
        self.connections = [each for each in self.connections if each.idle_until > now]
        for connection in stale:
            connection.abort()
        if self.connections:
            due_s = min(each.idle_until for each in self.connections) - now
            self.sweeper = asyncio.get_running_loop().call_later(due_s, self.sweep)

    def close(self) -> None:
        """Look no more."""
        if self.sweeper is not None:
            self.sweeper.cancel()
