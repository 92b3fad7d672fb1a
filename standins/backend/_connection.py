"""Server side of one HTTP connection."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, cast

import httptools

from standins.backend._request import Request
from standins.backend._response import Response

if TYPE_CHECKING:
    from standins.backend._server import BackendServer

REPEAT_INTERVAL_S = 0.002
CONNECTION_SETUP_S = 0.001  # connection setup time of the platform's servers


class Connection(asyncio.Protocol):
    """Parses pipelined requests and responds to them in order, each in its own task."""

    def __init__(self, server: "BackendServer") -> None:
        self.server = server
        self.parser: Any = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.pending: deque[Request] = deque()
        self.task: asyncio.Task[None] | None = None
        self.is_running_non_idempotent = False
        self.target = b""
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.server.connections) >= self.server.connection_limit:
            self.transport.abort()
            return
        self.server.connections.add(self)
        self.server.ledger.connections_opened += 1
        self.transport.pause_reading()
        asyncio.get_running_loop().call_later(CONNECTION_SETUP_S, self.start_reading)

    def start_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self.pending.clear()
        if self.task is not None and not self.task.done():
            self.server.ledger.cancels += 1
            # A non-idempotent execution continues after its caller has disconnected.
            if not self.is_running_non_idempotent:
                self.task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_begin(self) -> None:
        self.target, self.headers, self.body = b"", {}, []

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        # Repeated header lines are joined with commas (RFC 9110, section 5.3).
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def on_headers_complete(self) -> None:
        if self.headers.get("expect", "").lower() == "100-continue" and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        request = Request(
            method,
            self.target.decode("latin-1"),
            self.headers,
            b"".join(self.body),
            self.parser.should_keep_alive(),
        )
        self.pending.append(request)
        if self.task is None:
            self.start_next()

    def start_next(self) -> None:
        self.task = None
        if self.pending:
            self.task = asyncio.create_task(self.answer(self.pending.popleft()))
            self.server.response_tasks.add(self.task)
            self.task.add_done_callback(self.server.response_tasks.discard)

    async def answer(self, request: Request) -> None:
        self.is_running_non_idempotent = False
        answer = await self.server.answer(request, self)
        if self.transport is None or self.transport.is_closing():
            return
        if answer is None:
            self.transport.abort()
            return
        if answer.hangs:
            self.transport.write(answer.encode(close=True))
            return
        if answer.repeats:
            await self.send_endlessly(answer)
            return
        is_truncated = answer.sent_bytes is not None
        close = is_truncated or not request.keep_alive or self.server.faults.drain
        self.transport.write(answer.encode(close=close, head_only=request.method == "HEAD"))
        if close:
            self.transport.close()
        else:
            self.start_next()

    async def send_endlessly(self, answer: Response) -> None:
        """Send a response and go on with its ``repeats`` until the connection is closed."""
        assert self.transport is not None
        self.transport.write(answer.encode(close=True))
        while not self.transport.is_closing():
            if not self.transport.get_write_buffer_size():
                self.transport.write(answer.repeats)
            await asyncio.sleep(REPEAT_INTERVAL_S)
