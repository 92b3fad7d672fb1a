"""Connections to the peer port that have not proved the fleet's key yet."""

import asyncio

import structlog

from marjoramtide.errors import ErrorCode

log = structlog.get_logger()


class Strangers:
    """Bounds the number of connections without proof; the oldest gives way to a new one.

    Failure: anybody may connect, and each connection holds a descriptor until its handshake has
    timed out. Some hundreds of them a second take all descriptors, and nodes can't connect. A
    node's handshake is a matter of milliseconds, so its connection is rarely the oldest.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.transports: dict[asyncio.Transport, str] = {}

    def add(self, transport: asyncio.Transport, peer: str) -> None:
        """Add a new connection, and abort the oldest one if there are too many."""
        if len(self.transports) >= self.limit:
            oldest = next(iter(self.transports))
            self.refuse(oldest, "there are too many connections without proof of the key")
        self.transports[transport] = peer

    def discard(self, transport: asyncio.Transport) -> None:
        """Forget a connection that has proved the key, or is closed."""
        self.transports.pop(transport, None)

    def refuse(self, transport: asyncio.Transport, reason: str) -> None:
        """Abort a connection that has not proved the key."""
        log.warning(
            "peers.refused",
            code=ErrorCode.MEMORY_LIMIT,
            step="peers.accept",
            peer=self.transports.pop(transport, ""),
            reason=reason,
        )
        transport.abort()
