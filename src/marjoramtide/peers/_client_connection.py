"""The websocket connection class of the client side."""

from websockets.asyncio.client import ClientConnection

from marjoramtide.peers._stall_guard import StallGuard


class PeerClientConnection(StallGuard, ClientConnection):
    """A client connection that is aborted if its send buffer stalls."""
