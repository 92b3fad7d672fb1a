"""The server for connections of other nodes."""

import asyncio
import logging
from functools import partial
from typing import cast

import structlog
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from marjoramtide.clock import Clock, FreezeDetector
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import RequestHandler
from marjoramtide.peers._handshake import HANDSHAKE_TIMEOUT_S, open_as_server
from marjoramtide.peers._in_flight_listener import InFlightListener
from marjoramtide.peers._in_flight_session import InFlightSession
from marjoramtide.peers._lanes import IN_FLIGHT
from marjoramtide.peers._limits import (
    CLOSE_TIMEOUT_S,
    MAX_HANDSHAKE_BYTES,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
)
from marjoramtide.peers._server_connection import PeerServerConnection
from marjoramtide.peers._session import QuestionHandler, Session
from marjoramtide.peers._strangers import Strangers
from marjoramtide.sockets import enable_keepalive

log = structlog.get_logger()

# The library logs each connection at lower levels.
library_log = logging.getLogger("marjoramtide.peers.websockets")
library_log.setLevel(logging.ERROR)

MAX_STRANGERS = 512


class PeerServer:
    """Accepts connections from nodes that prove knowledge of the fleet's key."""

    def __init__(
        self,
        key: str,
        clock: Clock,
        freeze_detector: FreezeDetector,
        max_strangers: int = MAX_STRANGERS,
    ) -> None:
        """``max_strangers`` is how many connections may be without proof of the key."""
        self.key = key
        self.strangers = Strangers(max_strangers)
        self.handler: RequestHandler | None = None
        self.in_flight_listener: InFlightListener | None = None
        self.clock = clock
        self.freeze_detector = freeze_detector
        self.questions: dict[str, QuestionHandler] = {}
        self.sessions: set[Session] = set()
        self.server: Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on the peer address."""
        self.server = await serve(
            self.accept,
            host,
            port,
            compression=None,
            max_size=MAX_HANDSHAKE_BYTES,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            server_header=None,
            logger=library_log,
            create_connection=partial(  # type: ignore[arg-type]
                PeerServerConnection, strangers=self.strangers
            ),
            open_timeout=HANDSHAKE_TIMEOUT_S,
        )

    async def accept(self, socket: ServerConnection) -> None:
        """Authenticate one connection, then serve it."""
        peer = "{}:{}".format(*socket.remote_address[:2])
        enable_keepalive(socket.transport.get_extra_info("socket"))
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                lane = await open_as_server(socket, self.key, peer)
        except MarjoramtideError as error:
            await self.refuse(socket, error)
            return
        except (TimeoutError, ConnectionClosed) as error:
            reason = f"handshake failed: {type(error).__name__}"
            await self.refuse(
                socket,
                MarjoramtideError(ErrorCode.BAD_KEY, reason, step="peers.handshake", peer=peer),
            )
            return
        cast(PeerServerConnection, socket).admit()
        if lane == IN_FLIGHT:
            assert self.in_flight_listener is not None
            await InFlightSession(socket, peer, self.in_flight_listener, self.clock).run()
            return
        assert self.handler is not None
        session = Session(
            socket, peer, self.handler, self.questions, self.clock, self.freeze_detector
        )
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)

    async def refuse(self, socket: ServerConnection, error: MarjoramtideError) -> None:
        """Close a connection that was not authenticated."""
        log.warning(
            "peers.refused",
            code=error.code,
            step=error.step,
            peer=error.peer,
            reason=error.message,
        )
        await socket.close(1008, "refused")

    async def wait_drained(self) -> None:
        """Wait until no peer's request is in progress, including the last byte of its response."""
        for session in list(self.sessions):
            await session.idle.wait()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
