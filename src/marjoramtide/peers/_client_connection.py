"""The client's end of a connection, below the messages."""

from websockets.asyncio.client import ClientConnection

from marjoramtide.peers._stall_guard import StallGuard


class PeerClientConnection(StallGuard, ClientConnection):
    """The library's connection, which ends where nothing goes out any more."""
