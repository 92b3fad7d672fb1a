"""aiohttp's server with bounds on what all of its connections take."""

import asyncio
from typing import Any, cast

from aiohttp import web

from marjoramtide.sockets._bounded_connection import BoundedConnection
from marjoramtide.sockets._connection_account import ConnectionAccount
from marjoramtide.sockets._memory_shares import ConnectionLimits

MAX_HEAD_BYTES = 16 * 1024


class BoundedServer(web.Server):
    """Creates ``BoundedConnection`` objects, which share one account.

    If there are ``max_connections``, a new one takes the place of one that has waited longest for
    its client, for at least ``min_wait_s`` seconds; if there is none, the new one is refused.
    ``open_count`` is their number without those that were just closed.
    """

    connection_class = BoundedConnection

    def __init__(
        self,
        name: str,
        limits: ConnectionLimits,
        *args: Any,
        min_wait_s: float = 0.0,
        max_head_bytes: int = MAX_HEAD_BYTES,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.name = name
        self.max_connections = limits.connections
        self.open_count = 0
        self.min_wait_s = min_wait_s
        self.max_head_bytes = max_head_bytes
        self.account = ConnectionAccount(limits.held_bytes, self.bounded_connections)

    def bounded_connections(self) -> list[BoundedConnection]:
        """Return all connections whose tasks have not ended yet."""
        return cast(list[BoundedConnection], list(self._connections))

    def transport_of(self, connection: BoundedConnection) -> asyncio.Transport | None:
        """Return a connection's transport, also of one that is being closed."""
        return self._connections.get(connection)

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        self.open_count += 1
        if self.open_count <= self.max_connections:
            return
        now = asyncio.get_running_loop().time()
        if not self.account.make_room(self.max_connections, self.min_wait_s, now):
            self.refuse_connection(handler)

    def refuse_connection(self, connection: BoundedConnection) -> None:
        """Refuse a new connection, since there are too many."""
        connection.shed("there are too many connections")

    def __call__(self) -> BoundedConnection:
        return self.connection_class(self, loop=self._loop, **self._kwargs)
