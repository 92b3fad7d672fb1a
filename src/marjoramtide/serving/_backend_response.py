"""Parser and buffer for the response to one request."""

import asyncio
import re
from collections.abc import Callable
from typing import Any

import httptools
import structlog

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import MAX_INLINE_BYTES, UnknownOutcomeError
from marjoramtide.serving._exchange import Exchange, ResponseMatch

log = structlog.get_logger()

MAX_HEAD_BYTES = 64 * 1024
# Bytes that frame a body: chunk sizes and extensions, trailers, and responses to other requests.
MAX_FRAMING_BYTES = 64 * 1024
# Chunks of one byte with a short extension each are still read.
MAX_FRAMING_PER_BODY_BYTE = 16
# More pieces of a body in the buffer are joined, since a short piece takes ten times its size.
MAX_BUFFERED_PIECES = 64
STATUSES_WITHOUT_BODY = (204, 304)
IDLE_TIMEOUT = re.compile(r"\btimeout=([0-9]{1,6})\b", re.IGNORECASE)


def accept_any(response: "BackendResponse") -> ResponseMatch:
    """Take each response for the expected one, as servers that name no request require."""
    return ResponseMatch.OWN


def match_by_id(
    exchange: Exchange,
    named_request: "Callable[[BackendResponse], str]",
    response: "BackendResponse",
) -> ResponseMatch:
    """Return whether a response belongs to an exchange, by the id that it names."""
    return exchange.match(named_request(response))


class BackendResponse:
    """Parses the response to one request strictly and buffers a bounded part of its body.

    The parser is llhttp in strict mode: two lengths, a length combined with a transfer coding, bare
    line feeds and folded header fields are errors. Each request has its own parser, so no part of
    one response can be mistaken for a part of the next.

    If a backend server responds twice to one request, the second response may arrive after the next
    request was sent on the same connection, and would go to the wrong caller. ``match`` decides by
    the head whether a response is the expected one. Others are dropped, and the connection is not
    reused. A response that may be another's fails the exchange.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        peer: str,
        *,
        is_head_request: bool,
        match: "Callable[[BackendResponse], ResponseMatch]" = accept_any,
    ) -> None:
        self.match = match
        self.is_stray = False
        self.stray_count = 0
        self.transport = transport
        self.peer = peer
        self.is_head_request = is_head_request
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.length: int | None = None
        self.head_bytes = 0
        self.fed_bytes = 0
        self.has_head = False
        self.ends_at_close = False
        self.chunks: list[bytes] = []
        self.buffered_bytes = 0
        self.received_bytes = 0
        self.is_paused = False
        self.is_complete = False
        self.is_reusable = False
        self.error: UnknownOutcomeError | None = None
        self.wanted_bytes = 0
        self.waiter: asyncio.Future[None] | None = None

    @property
    def has_ended(self) -> bool:
        """Return whether the response is complete or has failed."""
        return self.is_complete or self.error is not None

    def header(self, name: str) -> str:
        """Return the first header with this lower-case name, or an empty string."""
        return next((value for each, value in self.headers if each.lower() == name), "")

    def header_values(self, name: str) -> list[str]:
        """Return all headers with this lower-case name."""
        return [value for each, value in self.headers if each.lower() == name]

    def server_idle_timeout_s(self) -> float | None:
        """Return the server's idle timeout for the connection, ``None`` if it isn't stated."""
        match = IDLE_TIMEOUT.search(self.header("keep-alive"))
        return None if match is None else float(match[1])

    async def read(self, size: int) -> bytes:
        """Wait for ``size`` bytes of the body or its end, and return all buffered bytes.

        Raises ``UnknownOutcomeError`` if the response is truncated or invalid.
        """
        if not self.has_ended and self.buffered_bytes < size:
            self.wanted_bytes = size
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        if self.error is not None:
            raise self.error
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered_bytes = 0
        if self.is_paused:
            self.is_paused = False
            self.transport.resume_reading()
        return data

    def feed(self, data: bytes) -> None:
        """Parse bytes received on the connection, up to the end of the response."""
        rest = memoryview(data)
        while rest and not self.has_ended:
            size = len(rest) if self.has_head else MAX_HEAD_BYTES + 1 - self.head_bytes
            piece, rest = rest[:size], rest[size:]
            self.parse(piece)
            self.check_bounds()
        if rest:
            self.is_reusable = False
        self.wake()

    def parse(self, piece: memoryview) -> None:
        self.fed_bytes += len(piece)
        if not self.has_head:
            self.head_bytes += len(piece)
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Extra bytes after a complete response prevent reuse of the connection only.
            self.is_reusable = False
            if not self.is_complete:
                self.fail(ErrorCode.BACKEND_FAILED, f"{type(error).__name__}: {error}")

    def check_bounds(self) -> None:
        """Fail a response that goes on without a complete head, or without a body.

        Failure: a server in trouble sends a chunk extension or trailers without end. Nothing of it
        is body that a full buffer would stop, so all of it was parsed and kept until the deadline.
        """
        if not self.has_head and self.head_bytes > MAX_HEAD_BYTES:
            self.fail(
                ErrorCode.HEAD_TOO_LARGE, f"the response head is longer than {MAX_HEAD_BYTES} bytes"
            )
        framing_bytes = self.fed_bytes - self.head_bytes - self.received_bytes
        if framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.received_bytes:
            self.fail(
                ErrorCode.BACKEND_FAILED,
                f"{framing_bytes} bytes frame a body of {self.received_bytes} bytes",
            )

    def server_closed(self) -> None:
        """Handle the server's orderly close, which ends a body without a stated length."""
        self.is_reusable = False
        if self.ends_at_close and not self.has_ended:
            self.is_complete = True
            self.wake()

    def connection_lost(self, reason: str) -> None:
        """Handle the end of the connection, which truncates a response that has not ended.

        That also holds for a body without a stated length. asyncio reports a close by this node
        like one by the server; if either ended the body, callers would get the half that arrived
        before a crash as the complete response. Only ``server_closed`` ends it.
        """
        self.is_reusable = False
        if self.has_head:
            self.fail(ErrorCode.TRUNCATED, f"the response was cut off: {reason}")
        else:
            self.fail(ErrorCode.BACKEND_FAILED, f"there was no response: {reason}")

    def fail(self, code: ErrorCode, message: str) -> None:
        """End the response with an error, unless it has already ended."""
        self.is_reusable = False
        if not self.has_ended:
            self.error = UnknownOutcomeError(code, message, step="serving.read", peer=self.peer)
            self.wake()

    def wake(self) -> None:
        if (
            (self.has_ended or self.buffered_bytes >= self.wanted_bytes)
            and self.waiter
            and not self.waiter.done()
        ):
            self.waiter.set_result(None)

    def on_message_begin(self) -> None:
        # A second response to one request could be taken for the response to the next one.
        if self.is_complete:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.has_head:
            self.headers.append((name.decode("latin-1"), decode_header(value)))

    def on_headers_complete(self) -> None:
        if self.has_head:
            return
        status = self.parser.get_status_code()
        if status < 200:
            self.headers.clear()
            return
        self.status = status
        match = self.match(self)
        if match is ResponseMatch.STRAY:
            log.info("serving.stray_response", peer=self.peer, status=status)
            self.is_stray = True
            self.headers.clear()
            return
        self.has_head = True
        if match is ResponseMatch.UNNAMED:
            self.fail(ErrorCode.BACKEND_FAILED, f"response {status} names no request")
            return
        length = self.header("content-length")
        self.length = int(length) if length else None
        coding = self.header("transfer-encoding").lower()
        if coding and coding.rpartition(",")[2].strip() != "chunked":
            self.fail(ErrorCode.BACKEND_FAILED, f"unsupported transfer coding {coding[:40]!r}")
        self.ends_at_close = (
            not coding and self.length is None and status not in STATUSES_WITHOUT_BODY
        )
        if self.is_head_request:
            # The parser doesn't know that a response to HEAD has no body, so the connection is not
            # reused.
            self.is_complete = True

    def on_body(self, data: bytes) -> None:
        if self.is_complete or self.is_stray:
            return
        if len(self.chunks) >= MAX_BUFFERED_PIECES:
            self.chunks = [b"".join(self.chunks)]
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        self.received_bytes += len(data)
        if self.buffered_bytes >= MAX_INLINE_BYTES and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        if self.is_stray:
            self.is_stray = False
            self.stray_count += 1
            return
        if self.has_head and not self.has_ended:
            self.is_complete = True
            self.is_reusable = self.parser.should_keep_alive() and not self.stray_count


def decode_header(value: bytes) -> str:
    """Return a header value that can be encoded as UTF-8, as CBOR and callers' responses require.

    Values that are not valid UTF-8 are decoded as Latin-1, the charset of HTTP/1.0, and are
    forwarded as UTF-8.
    """
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")
