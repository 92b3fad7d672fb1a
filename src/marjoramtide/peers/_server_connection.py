"""The websocket connection class of the server side."""

from typing import Any

import structlog
from websockets.asyncio.server import ServerConnection

from marjoramtide.errors import ErrorCode
from marjoramtide.peers._stall_guard import StallGuard

log = structlog.get_logger()

MAX_REASON_CHARACTERS = 200


class PeerServerConnection(StallGuard, ServerConnection):
    """A server connection that logs clients whose websocket handshake failed, and why."""

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
