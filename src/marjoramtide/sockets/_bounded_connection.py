"""An HTTP connection that knows what it holds, and bounds what comes before a request."""

import asyncio
from typing import TYPE_CHECKING, Any, cast

import structlog
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from marjoramtide.errors import ErrorCode

if TYPE_CHECKING:
    from marjoramtide.sockets._bounded_server import BoundedServer

log = structlog.get_logger()

# Read from a socket at once, and kept while the parser is paused. Hundreds of clients that send
# chunks of one byte have their turn before anything else has: each takes milliseconds for this.
READ_BYTES = 16 * 1024
# Of a body that nobody reads twice this is buffered, in at most a sixteenth as many pieces.
BODY_BUFFER_BYTES = 16 * 1024
# Requests parsed before their turn.
MAX_REQUESTS_AHEAD = 4
# What a connection without input takes: its transport, parser and task.
CONNECTION_BYTES = 12 * 1024
REQUEST_BYTES = 4 * 1024
# A head is kept as bytes, as text, and as the headers that are sent on.
HEAD_COPIES = 3
# A piece of a body in the buffer, and the offset of its end.
PIECE_BYTES = 100
# Bytes that frame a body: chunk sizes and extensions, trailers. Chunks of one byte with a short
# extension each are still read.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 16
# A closed connection whose client does not read its last response is aborted after this time.
CLOSING_TIMEOUT_S = 30.0
# Of a client that has sent ahead input is dropped until nothing came for this long.
DRAIN_SILENCE_S = 0.02
MAX_DRAIN_S = 0.5


class BoundedConnection(RequestHandler):
    """aiohttp's connection with a bound on all that a client sends outside a body.

    Failure: the library bounds each line of a head and their number, whose product is 800 kB, and
    nothing at all of empty lines before a request, of chunk extensions, or of what follows a
    failure. Here the head counts as a whole with whatever comes before it, and so does the framing
    of a body. Bodies themselves are bounded by who reads them.

    ``held_bytes`` estimates what the connection makes this process keep, and ``waiting_since`` is
    since when it has waited for its client, in seconds of the loop's clock.
    """

    __slots__ = (
        "ahead_bytes",
        "body_bytes",
        "closing_timer",
        "discards_input",
        "framing_bytes",
        "has_ended",
        "head_bytes",
        "input_since",
        "last_body",
        "opened_at",
        "parsed_body_bytes",
        "received_at",
        "server",
        "streams_response",
        "unread_since",
    )

    # What is kept of a body while its request is handled.
    kept_body_bytes = 1024 * 1024
    # A response that is streamed has this much on its way.
    streamed_response_bytes = 0

    def __init__(self, server: "BoundedServer", *args: Any, **kwargs: Any) -> None:
        super().__init__(server, *args, read_bufsize=BODY_BUFFER_BYTES, **kwargs)
        self.server = server
        self.head_bytes = 0
        self.body_bytes = 0
        self.ahead_bytes = 0
        self.parsed_body_bytes = 0
        self.framing_bytes = 0
        self.last_body: Any = EMPTY_PAYLOAD
        self.discards_input = False
        self.has_ended = False
        self.opened_at = self.input_since = self.received_at = self._loop.time()
        self.unread_since: float | None = None
        self.closing_timer: asyncio.TimerHandle | None = None
        self.streams_response = False
        self.limit_requests_ahead()

    def limit_requests_ahead(self) -> None:
        """Let the parser stop earlier than the library's own 32 requests, with 8 kB a line."""
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD // 2
        self._parser = HttpRequestParser(
            self,
            self._loop,
            BODY_BUFFER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.mark_ended()
        if self.closing_timer is not None:
            self.closing_timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self.received_at = self._loop.time()
        if self.discards_input:
            # After a failure nothing can be parsed, and each attempt would be kept as an error.
            return
        requests_before = self._request_count
        super().data_received(data)
        self.count_input(len(data), requests_before)
        if self.discards_input:
            self.fail_broken_body()
        self.server.account.moved(len(data))

    def count_input(self, size: int, requests_before: int) -> None:
        """Count received bytes as those of a head or of a body, and check the bounds."""
        if self._request_count != requests_before and self._messages:
            message, self.last_body = self._messages[-1]
            self.ahead_bytes += size
            self.head_bytes = self.body_bytes = self.framing_bytes = 0
            self.parsed_body_bytes = 0
            self.input_since = self._loop.time()
            if isinstance(message, _ErrInfo):
                self.discard_input()
        elif not self.last_body.is_eof():
            self.count_body(size)
        else:
            self.count_head(size)

    def count_head(self, size: int) -> None:
        if not self.head_bytes:
            self.input_since = self._loop.time()
        self.head_bytes += size
        limit = self.server.max_head_bytes
        # The end of the body before it, or requests whose turn has not come, may be among these.
        if self.head_bytes > limit + (READ_BYTES if self._messages else 0):
            self.fail_input(LineTooLong(b"", limit))

    def count_body(self, size: int) -> None:
        """Count bytes of a body, and fail one that is framed by more than any client needs.

        Bytes by which the body itself does not grow are its trailers, which are kept like a head,
        or an extension of a chunk, and may take no more than a head.
        """
        self.body_bytes += size
        body_bytes = self.last_body.total_bytes
        if body_bytes > self.parsed_body_bytes:
            self.parsed_body_bytes = body_bytes
            self.framing_bytes = 0
        else:
            self.framing_bytes += size
        framing = self.body_bytes - body_bytes
        is_too_much = framing > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes
        if is_too_much or self.framing_bytes > self.server.max_head_bytes:
            self.fail_input(
                BadHttpMessage(f"{framing} bytes frame a body of {body_bytes} bytes so far")
            )

    def fail_input(self, error: HttpProcessingError) -> None:
        """Queue a refusal behind the requests before it, and take no more input."""
        self._request_count += 1
        failure = _ErrInfo(status=400, exc=error, message=error.message)
        self._messages.append((failure, EMPTY_PAYLOAD))
        self.discard_input()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def fail_broken_body(self) -> None:
        """Fail the reading of a body that is not valid HTTP.

        aiohttp only queues the parse error as the next request. The reader of the body would wait
        for the rest until its deadline while holding a slot of the backend server.
        """
        errors = [message.exc for message, _ in self._messages if isinstance(message, _ErrInfo)]
        if not errors:
            return
        bodies = [body for _, body in self._messages]
        if self._current_request is not None:
            bodies.append(self._current_request.content)
        for body in bodies:
            if not body.is_eof():
                body.set_exception(errors[0])
                self._lingering_time = 0.0  # the rest can't be parsed

    def discard_input(self) -> None:
        """Read and drop what still comes, since no request is taken from it."""
        self.discards_input = True
        self._resume_transport_reading()

    async def drain_input(self) -> None:
        """Read and drop what a client has sent ahead, before the connection is closed.

        A connection that is closed with unread bytes is reset, and the client might lose responses
        that it has not read yet. Without anything ahead this returns at once.
        """
        if not self._messages and not self._buffer_paused:
            return
        self.discard_input()
        ends_at = self._loop.time() + MAX_DRAIN_S
        silent_since = self.opened_at
        while silent_since < self.received_at and self._loop.time() < ends_at:
            silent_since = self._loop.time()
            await asyncio.sleep(DRAIN_SILENCE_S)

    def pause_writing(self) -> None:
        super().pause_writing()
        self.unread_since = self._loop.time()

    def resume_writing(self) -> None:
        super().resume_writing()
        self.unread_since = None

    def force_close(self) -> None:
        transport = self.transport
        super().force_close()
        self.limit_closing(transport)

    async def start(self) -> None:
        """Handle requests until the connection is to be closed."""
        transport = self.transport
        try:
            await super().start()
        finally:
            self.limit_closing(transport)

    def limit_closing(self, transport: asyncio.Transport | None) -> None:
        """Abort a closed connection if its client does not read the rest of its response.

        Otherwise the transport waits for that forever, with its descriptor.
        """
        if transport is None or not transport.get_write_buffer_size():
            return
        if self.closing_timer is None:
            self.unread_since = self._loop.time()
            self.closing_timer = self._loop.call_later(CLOSING_TIMEOUT_S, transport.abort)

    @property
    def waiting_since(self) -> float | None:
        """Return since when the connection has waited for its client, ``None`` if it does not."""
        if self.has_ended:
            return None
        if self._request_count == 0:
            return self.opened_at
        if self.unread_since is not None:
            return self.unread_since
        if self.head_bytes or self._messages or not self.last_body.is_eof():
            return self.input_since
        return None

    def held_bytes(self) -> int:
        """Return about how many bytes this process keeps for the connection."""
        if self.has_ended:
            return 0
        if not self._messages:
            self.ahead_bytes = 0
        held = CONNECTION_BYTES + HEAD_COPIES * (
            self.head_bytes + self.ahead_bytes + self.framing_bytes
        )
        bodies = [body for _, body in self._messages]
        request = self._current_request
        if request is not None:
            bodies.append(request.content)
            held += HEAD_COPIES * sum(len(name) + len(text) for name, text in request.raw_headers)
            held += min(self.kept_body_bytes, request.content.total_bytes)
        held += sum(REQUEST_BYTES + buffered_bytes(body) for body in bodies)
        if self._reading_paused or self._buffer_paused:
            held += READ_BYTES
        if self.streams_response and self.unread_since is not None:
            held += self.streamed_response_bytes
        transport = self.server.transport_of(self)
        return held + (transport.get_write_buffer_size() if transport is not None else 0)

    def mark_ended(self) -> None:
        """Count the connection no more, although its transport may still be closing."""
        if not self.has_ended:
            self.has_ended = True
            self.server.open_count -= 1

    @property
    def is_between_requests(self) -> bool:
        """Return whether no request is handled or waits for its turn."""
        return self._current_request is None and not self._messages

    def shed(self, reason: str) -> None:
        """Close the connection, since others need what it holds."""
        log.info(
            "sockets.closed",
            code=ErrorCode.MEMORY_LIMIT,
            step=f"{self.server.name}.shed",
            peer="",
            reason=reason,
            caller=self.caller,
        )
        self.abort()

    @property
    def caller(self) -> str:
        """Return the client's address, or an empty string if the connection is closed."""
        peer = self.peername
        return peer[0] if isinstance(peer, tuple) else ""

    def abort(self) -> None:
        """Close the connection at once; what was not sent is dropped."""
        self.mark_ended()
        transport = self.server.transport_of(self)
        if transport is not None:
            transport.abort()


def buffered_bytes(body: Any) -> int:
    """Return what a body's buffer takes; that of an empty body has no size."""
    size = cast(int, getattr(body, "_size", 0))
    splits = getattr(body, "_http_chunk_splits", None)
    return size + PIECE_BYTES * (len(splits) if splits else 0)
