"""The backend server over HTTP/1.1."""

import asyncio
from collections.abc import AsyncIterator, Callable

import structlog

from marjoramtide.clock import Clock, SystemClock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import (
    MAX_INLINE_BYTES,
    NotRunError,
    Request,
    RequestBody,
    Response,
    UnknownOutcomeError,
    end_to_end,
    inline_body,
)
from marjoramtide.serving._backend_connection import BackendConnection
from marjoramtide.serving._backend_protocol import BackendProtocol
from marjoramtide.serving._backend_response import BackendResponse
from marjoramtide.serving._backend_transport import BackendTransport
from marjoramtide.serving._default_backend_protocol import DefaultBackendProtocol
from marjoramtide.serving._endpoint_response import EndpointResponse
from marjoramtide.serving._idle_connection_pool import IdleConnectionPool
from marjoramtide.serving._request_head import encode_head
from marjoramtide.serving._response_metadata import ResponseMetadata, ResponseVerdict

log = structlog.get_logger()

CONNECT_TIMEOUT_S = 1.0
# For how long the failure of a request may be held back until it is known whether the server has
# ended, in seconds. Beside the server a connection is made or refused within a millisecond.
LOOK_TIMEOUT_S = 0.02
# How long a new connection must stay open to count, in seconds, and how many are tried.
SETTLE_S = 0.002
LOOKS = 3


class HttpTransport(BackendTransport):
    """Keeps connections to one backend server, at most ``limit`` of them.

    Nothing is ever sent a second time here: whether there is another try is decided by the ingress
    node alone.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        protocol: BackendProtocol | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock or SystemClock()
        self.protocol = protocol or DefaultBackendProtocol()
        # Whom requests are for, where the backend server has told its identity.
        self.instance = ""
        # Told what an answer says, and when the request was sent.
        self.on_response: Callable[[ResponseMetadata, float], None] | None = None
        # Called where nobody listens at the address.
        self.on_connection_refused: Callable[[], None] | None = None
        self.address = address
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.max_connections = max_connections
        self.connections: set[BackendConnection] = set()
        self.opening = 0
        self.idle = IdleConnectionPool(self.clock)
        self.looking: asyncio.Task[None] | None = None

    async def send(
        self,
        request: Request,
        body: RequestBody,
        remaining_ms: float,
        on_dispatch: Callable[[], None],
    ) -> Response:
        added = self.protocol.request_headers(request, remaining_ms, self.instance)
        head = encode_head(request, body, added, self.address)
        connection = await self.take()
        on_dispatch()
        sent_at = self.clock.monotonic()
        try:
            reply = connection.send(
                head,
                body,
                head_only=request.method == "HEAD",
                belongs=lambda reply: self.protocol.belongs(request.request_id, reply),
            )
            first = await reply.first(MAX_INLINE_BYTES)
        except UnknownOutcomeError as error:
            connection.abort()
            # A body that its caller broke off is no fault of the backend server.
            raise body.error or error from error
        except BaseException:
            connection.abort()
            raise
        reading = self.protocol.read_response(reply)
        if self.on_response is not None:
            self.on_response(reading, sent_at)
        if reading.verdict in (ResponseVerdict.REFUSED, ResponseVerdict.MISDIRECTED):
            self.give_back(connection)
            raise self.refused(reading)
        if reading.verdict is ResponseVerdict.INVALID:
            connection.abort()
            raise UnknownOutcomeError(
                ErrorCode.BACKEND_FAILED,
                f"an answer of status {reply.status} that no caller may be given",
                step="serving.read",
                peer=self.address,
            )
        headers = end_to_end(reply.headers, self.protocol.own_answer_headers)
        answer = Response(reply.status, headers, length=reply.length)
        if reply.complete:
            self.give_back(connection)
            if not reply.head_only:
                answer.body, answer.length = first, len(first)
            return answer

        async def cancel() -> None:
            connection.abort()

        answer.stream = self.chunks(first, reply, connection)
        answer.cancel = cancel
        return answer

    async def chunks(
        self, first: bytes, reply: BackendResponse, connection: BackendConnection
    ) -> AsyncIterator[bytes]:
        """Yield the body; raises where it breaks off, so that a part is never taken for all."""
        try:
            yield first
            while reply.size or not reply.complete:
                if data := await reply.first(1):
                    yield data
        finally:
            # With an unread rest the connection is closed: the rest would be the next one's answer.
            self.give_back(connection)

    def refused(self, reading: ResponseMetadata) -> NotRunError:
        return NotRunError(
            ErrorCode.DRAINING if reading.is_leaving else ErrorCode.OVERLOADED,
            "the backend server refused the request",
            step="serving.read",
            peer=self.address,
            retry_after_ms=reading.retry_after_ms,
            reached_backend=True,
        )

    async def read(self, path: str, timeout_s: float) -> EndpointResponse:
        head = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        async with asyncio.timeout(timeout_s):
            connection = await self.take()
            try:
                reply = connection.send(head, inline_body())
                body = await reply.first(MAX_INLINE_BYTES)
                return EndpointResponse(reply.status, tuple(reply.headers), body)
            finally:
                self.give_back(connection)

    async def take(self) -> BackendConnection:
        """Return a free connection, or a new one; raises ``NotRunError`` where there is none."""
        return self.idle.take() or await self.connect(CONNECT_TIMEOUT_S)

    async def probe(self) -> None:
        """Open one connection, which is kept for the next request, for however many lost ones."""
        if self.looking is None:
            self.looking = asyncio.create_task(self.connect_ahead())
            self.looking.add_done_callback(lambda _: self.looked())
        await asyncio.shield(self.looking)

    async def connect_ahead(self) -> None:
        """Connect until a connection stays open, or there can't be one.

        Failure: a host closes the sockets of a process that has ended one after another, and a
        connection is still taken in between; the server passes for alive. In one of six plays with
        a busy host an attempt of a caller ended a third server by that. Such a connection breaks
        when the listener is closed, within a millisecond.
        """
        for _ in range(LOOKS):
            try:
                connection = await self.connect(LOOK_TIMEOUT_S)
            except NotRunError as error:
                log.info(
                    "serving.look_failed",
                    code=error.code,
                    step=error.step,
                    peer=error.peer,
                    reason=error.message,
                )
                is_known = isinstance(error.__cause__, ConnectionRefusedError | TimeoutError)
                if is_known or error.code is ErrorCode.OVERLOADED:
                    return
                continue
            await asyncio.sleep(SETTLE_S)
            if connection.usable:
                self.idle.keep(connection)
                return

    def looked(self) -> None:
        self.looking = None

    async def connect(self, timeout_s: float) -> BackendConnection:
        """Return a new connection; raises ``NotRunError`` where there can't be one."""
        if len(self.connections) + self.opening >= self.max_connections:
            raise self.unconnected(
                ErrorCode.OVERLOADED, f"all {self.max_connections} connections are in use"
            )
        self.opening += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: BackendConnection(self.address, self.lost), self.host, self.port
                )
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError) and self.on_connection_refused is not None:
                self.on_connection_refused()
            text = f"{type(error).__name__}: {error}"
            raise self.unconnected(ErrorCode.CONNECT_FAILED, text) from error
        finally:
            self.opening -= 1
        if not connection.usable:
            raise self.unconnected(ErrorCode.CONNECT_FAILED, "closed as soon as it was open")
        self.connections.add(connection)
        return connection

    def unconnected(self, code: ErrorCode, message: str) -> NotRunError:
        return NotRunError(code, message, step="serving.connect", peer=self.address)

    def give_back(self, connection: BackendConnection) -> None:
        """Keep a connection for the next request where its exchange ended cleanly."""
        if connection.end():
            self.idle.keep(connection)

    def lost(self, connection: BackendConnection) -> None:
        self.connections.discard(connection)
        self.idle.drop(connection)

    def server_replaced(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    async def close(self) -> None:
        self.idle.close()
        if self.looking is not None:
            self.looking.cancel()
        self.server_replaced()
