"""The port on which peers reach this node."""

import asyncio
import logging

import structlog
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from marjoramtide.clock import Clock, FreezeDetector
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import RequestHandler
from marjoramtide.peers._handshake import HANDSHAKE_TIMEOUT_S, open_as_server
from marjoramtide.peers._lanes import LANES
from marjoramtide.peers._limits import MAX_FRAME_BYTES, PING_INTERVAL_S, PING_TIMEOUT_S
from marjoramtide.peers._session import QuestionHandler, Session

log = structlog.get_logger()

# What the library says of broken handshakes is told in our own log, with a code.
quiet = logging.getLogger("marjoramtide.peers.websockets")
quiet.setLevel(logging.CRITICAL)


class PeerServer:
    """Accepts connections of nodes that hold the fleet's key."""

    def __init__(self, key: str, clock: Clock, freeze: FreezeDetector) -> None:
        self.key = key
        self.handler: RequestHandler | None = None
        self.clock = clock
        self.freeze = freeze
        self.questions: dict[str, QuestionHandler] = {}
        self.sessions: set[Session] = set()
        self.server: Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on the peers' address."""
        self.server = await serve(
            self.accept,
            host,
            port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            server_header=None,
            logger=quiet,
        )

    async def accept(self, socket: ServerConnection) -> None:
        """Serve one connection after its handshake."""
        peer = "{}:{}".format(*socket.remote_address[:2])
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                lane = await open_as_server(socket, self.key, peer)
            if lane not in LANES:
                raise MarjoramtideError(
                    ErrorCode.BAD_FRAME, f"no lane {lane!r}", step="peers.accept", peer=peer
                )
        except MarjoramtideError as error:
            log.warning("peers.refused", code=error.code, peer=peer, reason=error.message)
            await socket.close(1008, "refused")
            return
        except (TimeoutError, ConnectionClosed):
            log.warning("peers.refused", code=ErrorCode.BAD_KEY, peer=peer, reason="no handshake")
            await socket.close(1008, "refused")
            return
        assert self.handler is not None
        session = Session(socket, peer, self.handler, self.questions, self.clock, self.freeze)
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)

    async def drained(self) -> None:
        """Wait until no request of a peer is in progress, its answer's last byte included."""
        for session in list(self.sessions):
            await session.idle.wait()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
