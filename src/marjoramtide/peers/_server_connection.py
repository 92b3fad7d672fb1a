"""The websocket connection class of the server side."""

import asyncio
from typing import Any, cast

import structlog
from websockets.asyncio.server import ServerConnection
from websockets.protocol import State

from marjoramtide.errors import ErrorCode
from marjoramtide.peers._stall_guard import StallGuard
from marjoramtide.peers._strangers import Strangers

log = structlog.get_logger()

MAX_REASON_CHARACTERS = 200
# The request that opens a websocket takes less than 1 kB.
MAX_STRANGER_BYTES = 16 * 1024
READ_BYTES = 256 * 1024


class PeerServerConnection(StallGuard, ServerConnection):
    """A server connection that bounds what a client sends before it has proved the key.

    It logs clients whose websocket handshake failed, and why.
    """

    def __init__(self, *args: Any, strangers: Strangers, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.strangers = strangers
        self.stranger_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(cast(asyncio.Transport, transport))
        transport.max_size = MAX_STRANGER_BYTES  # type: ignore[attr-defined]
        peer = "{}:{}".format(*(self.remote_address or ("", ""))[:2])
        self.strangers.add(self.transport, peer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.strangers.discard(self.transport)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.protocol.state is State.CONNECTING:
            # The library takes 128 header lines of 8 kB each; after them, frames of 512 bytes.
            self.stranger_bytes += len(data)
            if self.stranger_bytes > MAX_STRANGER_BYTES:
                self.strangers.refuse(self.transport, "too many bytes before proof of the key")
                return
        super().data_received(data)

    def admit(self) -> None:
        """Lift the bounds: the client has proved the key."""
        self.strangers.discard(self.transport)
        self.transport.max_size = READ_BYTES  # type: ignore[attr-defined]

    async def handshake(self, *args: Any, **kwargs: Any) -> None:
        try:
            await super().handshake(*args, **kwargs)
        finally:
            error = self.protocol.handshake_exc
            if error is not None:
                log.warning(
                    "peers.refused",
                    code=ErrorCode.BAD_FRAME,
                    step="peers.accept",
                    peer="{}:{}".format(*(self.remote_address or ("", ""))[:2]),
                    reason=f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS],
                )
