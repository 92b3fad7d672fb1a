"""HTTP/1.1 transport to the backend server."""

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
from marjoramtide.serving._close_reason import CloseReason
from marjoramtide.serving._default_backend_protocol import DefaultBackendProtocol
from marjoramtide.serving._endpoint_response import EndpointResponse
from marjoramtide.serving._idle_connection_pool import IdleConnectionPool
from marjoramtide.serving._request_head import encode_head
from marjoramtide.serving._response_metadata import ResponseMetadata, ResponseVerdict

log = structlog.get_logger()

CONNECT_TIMEOUT_S = 1.0
# Limits the delay of a failed request's error while the server is probed, in seconds. The server is
# on the same host, so a connection is accepted or refused within a millisecond.
PROBE_TIMEOUT_S = 0.02
# How long a probe connection must stay open to show that the server is alive, in seconds.
PROBE_SETTLE_S = 0.002
MAX_PROBES = 3


class HttpTransport(BackendTransport):
    """Sends requests over at most ``max_connections`` connections to one backend server.

    The transport never retries. Only the ingress node decides about retries.
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
        # The identity of the registered backend server, empty while it is unknown.
        self.instance = ""
        # Called with the metadata of each response and the time at which the request was sent.
        self.on_response: Callable[[ResponseMetadata, float], None] | None = None
        # Called when the server refuses a connection.
        self.on_connection_refused: Callable[[], None] | None = None
        self.address = address
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.max_connections = max_connections
        self.connections: set[BackendConnection] = set()
        self.connecting = 0
        self.idle = IdleConnectionPool(self.clock)
        # For the server's own endpoints, whose responses name no request: a late second one would
        # be taken for the response to a request.
        self.idle_for_endpoints = IdleConnectionPool(self.clock)
        self.probe_task: asyncio.Task[None] | None = None

    async def send(
        self,
        request: Request,
        body: RequestBody,
        remaining_ms: float,
        on_dispatch: Callable[[], None],
    ) -> Response:
        added_headers = self.protocol.request_headers(request, remaining_ms, self.instance)
        head = encode_head(request, body, added_headers, self.address)
        connection = await self.acquire(self.idle, request.request_id)
        on_dispatch()
        sent_at = self.clock.monotonic()
        try:
            response = connection.send(
                head,
                body,
                request_id=request.request_id,
                is_head_request=request.method == "HEAD",
                named_request=self.protocol.named_request if self.protocol.names_requests else None,
            )
            first = await response.read(MAX_INLINE_BYTES)
        except UnknownOutcomeError as error:
            connection.abort(CloseReason.EXCHANGE_FAILED)
            # Report a broken upload as the caller's failure, not as the backend server's.
            raise body.error or error from error
        except BaseException:
            connection.abort(CloseReason.EXCHANGE_FAILED)
            raise
        metadata = self.protocol.read_response(response)
        if self.on_response is not None:
            self.on_response(metadata, sent_at)
        if metadata.verdict in (ResponseVerdict.REFUSED, ResponseVerdict.MISDIRECTED):
            exchange_number = len(connection.sent_ids)
            self.release(connection, self.idle)
            raise self.rejection_error(metadata, response.status, exchange_number)
        if metadata.verdict is ResponseVerdict.INVALID:
            connection.abort(CloseReason.INVALID_RESPONSE)
            raise UnknownOutcomeError(
                ErrorCode.BACKEND_FAILED,
                f"invalid response with status {response.status}",
                step="serving.read",
                peer=self.address,
            )
        if metadata.is_unproven_rejection:
            self.log_unproven_rejection(request, response.status)
            self.release(connection, self.idle)
            raise self.unproven_error(response.status)
        headers = end_to_end(response.headers, self.protocol.internal_response_headers)
        answer = Response(response.status, headers, length=response.length)
        if response.is_complete:
            self.release(connection, self.idle)
            if not response.is_head_request:
                answer.body, answer.length = first, len(first)
            return answer

        async def cancel() -> None:
            connection.abort(CloseReason.RESPONSE_CANCELLED)

        answer.stream = self.body_chunks(first, response, connection)
        answer.cancel = cancel
        return answer

    async def body_chunks(
        self, first: bytes, response: BackendResponse, connection: BackendConnection
    ) -> AsyncIterator[bytes]:
        """Yield the response body; raises ``UnknownOutcomeError`` if it is truncated."""
        try:
            yield first
            while response.buffered_bytes or not response.is_complete:
                if data := await response.read(1):
                    yield data
        finally:
            # A connection with unread data is closed here; the next request on it would read the
            # rest of this response as its own.
            self.release(connection, self.idle)

    def rejection_error(
        self, metadata: ResponseMetadata, status: int, exchange_number: int
    ) -> NotRunError:
        return NotRunError(
            ErrorCode.DRAINING if metadata.is_leaving else ErrorCode.OVERLOADED,
            f"the backend server rejected the request: status {status} in exchange "
            f"{exchange_number} of its connection",
            step="serving.read",
            peer=self.address,
            retry_after_ms=metadata.retry_after_ms,
            reached_backend=True,
        )

    def log_unproven_rejection(self, request: Request, status: int) -> None:
        log.warning(
            "serving.unproven_rejection",
            request=request.request_id,
            idempotent=request.idempotent,
            status=status,
            step="serving.read",
            peer=self.address,
        )

    def unproven_error(self, status: int) -> UnknownOutcomeError:
        """Return the error for a status that guarantees more than the backend server stated.

        Failure: a server runs a booking and responds with 503. Passed on, that status tells the
        caller that the booking has not run, and the caller books again.
        """
        return UnknownOutcomeError(
            ErrorCode.BACKEND_FAILED,
            f"status {status} without a statement that the request did not run",
            step="serving.read",
            peer=self.address,
        )

    async def read(self, path: str, timeout_s: float) -> EndpointResponse:
        head = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        async with asyncio.timeout(timeout_s):
            connection = await self.acquire(self.idle_for_endpoints)
            try:
                response = connection.send(head, inline_body())
                body = await response.read(MAX_INLINE_BYTES)
                return EndpointResponse(response.status, tuple(response.headers), body)
            finally:
                self.release(connection, self.idle_for_endpoints)

    async def acquire(self, idle: IdleConnectionPool, request_id: str = "") -> BackendConnection:
        """Return an idle connection or a new one, which has not carried this request id.

        Raises ``NotRunError`` if there is none.
        """
        connection = idle.acquire(request_id)
        if connection is None:
            self.make_room()
            connection = await self.connect(CONNECT_TIMEOUT_S)
        return connection

    @property
    def is_full(self) -> bool:
        """Return whether as many connections are open as are allowed."""
        return len(self.connections) + self.connecting >= self.max_connections

    def make_room(self) -> None:
        """Close an idle connection if it prevents a new one."""
        if not self.is_full:
            return
        connection = self.idle.pop_oldest() or self.idle_for_endpoints.pop_oldest()
        if connection is not None:
            connection.abort(CloseReason.MAKING_ROOM)
            self.connections.discard(connection)

    async def probe(self) -> None:
        """Open one connection and keep it idle; concurrent calls share one probe."""
        if self.probe_task is None:
            self.probe_task = asyncio.create_task(self.connect_until_open())
            self.probe_task.add_done_callback(lambda _: self.probe_done())
        await asyncio.shield(self.probe_task)

    async def connect_until_open(self) -> None:
        """Connect until a connection stays open or is refused, with a limited number of attempts.

        When a process crashes, the kernel closes its sockets one after another, and a listening
        socket may still accept a connection in between. The crashed server then looks alive: in one
        of six test runs on a busy host, a single call crashed a third server that way. Such a
        connection is closed together with the listening socket, within a millisecond.
        """
        for _ in range(MAX_PROBES):
            try:
                connection = await self.connect(PROBE_TIMEOUT_S)
            except NotRunError as error:
                log.info(
                    "serving.probe_failed",
                    code=error.code,
                    step=error.step,
                    peer=error.peer,
                    reason=error.message,
                )
                is_conclusive = isinstance(error.__cause__, ConnectionRefusedError | TimeoutError)
                if is_conclusive or error.code is ErrorCode.OVERLOADED:
                    return
                continue
            await asyncio.sleep(PROBE_SETTLE_S)
            if connection.is_usable:
                self.idle.add(connection)
                return

    def probe_done(self) -> None:
        self.probe_task = None

    async def connect(self, timeout_s: float) -> BackendConnection:
        """Return a new connection; raises ``NotRunError`` if it can't be established."""
        if self.is_full:
            raise self.connect_error(
                ErrorCode.OVERLOADED, f"all {self.max_connections} connections are in use"
            )
        self.connecting += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: BackendConnection(self.address, self.connection_lost),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError) and self.on_connection_refused is not None:
                self.on_connection_refused()
            reason = f"{type(error).__name__}: {error}"
            raise self.connect_error(ErrorCode.CONNECT_FAILED, reason) from error
        finally:
            self.connecting -= 1
        if not connection.is_usable:
            raise self.connect_error(
                ErrorCode.CONNECT_FAILED, "the connection was closed immediately"
            )
        self.connections.add(connection)
        return connection

    def connect_error(self, code: ErrorCode, message: str) -> NotRunError:
        return NotRunError(code, message, step="serving.connect", peer=self.address)

    def release(self, connection: BackendConnection, idle: IdleConnectionPool) -> None:
        """Keep a connection for the next request if its exchange was completed cleanly."""
        if connection.finish_exchange():
            idle.add(connection)

    def connection_lost(self, connection: BackendConnection) -> None:
        self.connections.discard(connection)
        self.idle.discard(connection)
        self.idle_for_endpoints.discard(connection)

    def server_replaced(self) -> None:
        self.abort_all(CloseReason.SERVER_REPLACED)

    def abort_all(self, reason: CloseReason) -> None:
        """Close all connections immediately."""
        for connection in list(self.connections):
            connection.abort(reason)

    async def close(self) -> None:
        self.idle.close()
        self.idle_for_endpoints.close()
        if self.probe_task is not None:
            self.probe_task.cancel()
        self.abort_all(CloseReason.SHUTDOWN)
