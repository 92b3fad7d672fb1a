"""Pool of idle connections to the backend server."""

import asyncio

from marjoramtide.clock import Clock
from marjoramtide.serving._backend_connection import BackendConnection
from marjoramtide.serving._close_reason import CloseReason

# Shorter than the idle timeout of most servers, so that requests rarely race with a close.
KEEP_ALIVE_S = 4.0
# How long before the server's idle timeout a connection is closed, in seconds.
CLOSE_MARGIN_S = 0.5


class IdleConnectionPool:
    """Keeps connections until shortly before the server's idle timeout, at most ``KEEP_ALIVE_S``.

    A server may close idle connections after a second and state this in its responses. If a booking
    is sent just as the server closes the connection, its outcome is unknown. Closing the connection
    half a second earlier on this side avoids that race.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # Ordered by last use; the most recently used connection is reused first.
        self.connections: list[BackendConnection] = []
        self.timer: asyncio.TimerHandle | None = None

    def add(self, connection: BackendConnection) -> None:
        """Keep a connection for the next request, for a few seconds."""
        server_s = connection.server_idle_timeout_s
        idle_s = KEEP_ALIVE_S if server_s is None else min(KEEP_ALIVE_S, server_s - CLOSE_MARGIN_S)
        if idle_s <= 0:
            connection.abort(CloseReason.IDLE_EXPIRED)
            return
        connection.idle_until = self.clock.monotonic() + idle_s
        self.connections.append(connection)
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(idle_s, self.close_expired)

    def acquire(self, request_id: str = "") -> BackendConnection | None:
        """Return the most recently used connection that may carry a request with this id.

        Returns ``None`` if there is none. Expired connections are left to the timer.
        """
        now = self.clock.monotonic()
        for connection in reversed(self.connections):
            if connection.idle_until > now and connection.may_carry(request_id):
                self.connections.remove(connection)
                return connection
        return None

    def pop_oldest(self) -> BackendConnection | None:
        """Return the connection that was not used for longest, ``None`` if there is none."""
        return self.connections.pop(0) if self.connections else None

    def discard(self, connection: BackendConnection) -> None:
        """Remove a connection that has been closed."""
        if connection in self.connections:
            self.connections.remove(connection)

    def close_expired(self) -> None:
        """Close the connections whose idle time has expired."""
        self.timer = None
        now = self.clock.monotonic()
        expired = [each for each in self.connections if each.idle_until <= now]
        self.connections = [each for each in self.connections if each.idle_until > now]
        for connection in expired:
            connection.abort(CloseReason.IDLE_EXPIRED)
        if self.connections:
            delay_s = min(each.idle_until for each in self.connections) - now
            self.timer = asyncio.get_running_loop().call_later(delay_s, self.close_expired)

    def close(self) -> None:
        """Cancel the expiry timer."""
        if self.timer is not None:
            self.timer.cancel()
