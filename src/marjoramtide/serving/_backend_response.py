"""What comes back from the backend server for one request."""

import asyncio
import re
from collections.abc import Callable
from typing import Any

import httptools

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import MAX_INLINE_BYTES, UnknownOutcomeError

MAX_HEAD_BYTES = 64 * 1024
NO_CONTENT = (204, 304)
IDLE_TIMEOUT = re.compile(r"\btimeout=([0-9]{1,6})\b", re.IGNORECASE)


class BackendResponse:
    """Parses the answer to one request, strictly, and holds a bounded part of its body.

    The parser is llhttp without leniencies: two lengths, a length beside a transfer coding, bare
    line feeds and folded fields are errors. A parser is made for each request, so nothing of one
    answer can be taken for a part of the next.

    Failure: a backend server answers a request twice, and the second answer arrives when the next
    request has been sent on the same connection: its caller would get another's answer.
    ``belongs`` tells by the head whether an answer is the awaited one; any other is dropped, and
    the connection is not used again.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        peer: str,
        *,
        head_only: bool,
        belongs: "Callable[[BackendResponse], bool] | None" = None,
    ) -> None:
        self.belongs = belongs
        self.is_stray = False
        self.strays = 0
        self.transport = transport
        self.peer = peer
        self.head_only = head_only
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.length: int | None = None
        self.head_bytes = 0
        self.has_head = False
        self.until_close = False
        self.pieces: list[bytes] = []
        self.size = 0
        self.paused = False
        self.complete = False
        self.reusable = False
        self.error: UnknownOutcomeError | None = None
        self.wanted = 0
        self.waiter: asyncio.Future[None] | None = None

    def header(self, name: str) -> str:
        """Return the first header of this name (lower case), or an empty string."""
        return next((value for each, value in self.headers if each.lower() == name), "")

    def header_values(self, name: str) -> list[str]:
        """Return all headers of this name (lower case)."""
        return [value for each, value in self.headers if each.lower() == name]

    def told_idle_s(self) -> float | None:
        """Return how long the server keeps the connection while idle, ``None`` if it didn't say."""
        told = IDLE_TIMEOUT.search(self.header("keep-alive"))
        return None if told is None else float(told[1])

    async def first(self, size: int) -> bytes:
        """Wait for ``size`` bytes of the body or its end, and take what is there.

        Raises ``UnknownOutcomeError`` where the answer breaks off before.
        """
        if not self.complete and self.error is None and self.size < size:
            self.wanted = size
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        if self.error is not None:
            raise self.error
        data = b"".join(self.pieces)
        self.pieces.clear()
        self.size = 0
        if self.paused:
            self.paused = False
            self.transport.resume_reading()
        return data

    def feed(self, data: bytes) -> None:
        """Take bytes off the connection."""
        if not self.has_head:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Bytes that follow a whole answer spoil the connection, not the answer.
            self.reusable = False
            if not self.complete:
                self.fail(ErrorCode.BACKEND_FAILED, f"{type(error).__name__}: {error}")
        if not self.has_head and self.head_bytes > MAX_HEAD_BYTES:
            self.fail(ErrorCode.HEAD_TOO_LARGE, f"the head is over {MAX_HEAD_BYTES} bytes")
        self.wake()

    def lost(self, error: Exception | None) -> None:
        """Note the end of the connection; a body without a length is whole by it."""
        self.reusable = False
        if self.complete or self.error is not None:
            return
        if self.until_close and error is None:
            self.complete = True
        elif self.has_head:
            self.fail(ErrorCode.TRUNCATED, "the connection ended amid the answer")
        else:
            self.fail(ErrorCode.BACKEND_FAILED, "the connection ended before an answer")
        self.wake()

    def fail(self, code: ErrorCode, message: str) -> None:
        """End the answer with an error, unless it has ended."""
        self.reusable = False
        if not self.complete and self.error is None:
            self.error = UnknownOutcomeError(code, message, step="serving.read", peer=self.peer)
            self.wake()

    def wake(self) -> None:
        ended = self.complete or self.error is not None
        if (ended or self.size >= self.wanted) and self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    def on_message_begin(self) -> None:
        # A second answer to one request: whoever sends it could make it the next caller's.
        if self.complete:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.has_head:
            self.headers.append((name.decode("latin-1"), readable(value)))

    def on_headers_complete(self) -> None:
        if self.has_head:
            return
        status = self.parser.get_status_code()
        if status < 200:
            self.headers.clear()
            return
        self.status = status
        if self.belongs is not None and not self.belongs(self):
            self.is_stray = True
            self.headers.clear()
            return
        self.has_head = True
        length = self.header("content-length")
        self.length = int(length) if length else None
        coding = self.header("transfer-encoding").lower()
        if coding and coding.rpartition(",")[2].strip() != "chunked":
            self.fail(ErrorCode.BACKEND_FAILED, f"transfer coding {coding[:40]!r}")
        self.until_close = not coding and self.length is None and status not in NO_CONTENT
        if self.head_only:
            # The parser can't know that no body follows; the connection ends with this answer.
            self.complete = True

    def on_body(self, data: bytes) -> None:
        if self.complete or self.is_stray:
            return
        self.pieces.append(data)
        self.size += len(data)
        if self.size >= MAX_INLINE_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        if self.is_stray:
            self.is_stray = False
            self.strays += 1
            return
        if self.has_head and not self.complete and self.error is None:
            self.complete = True
            self.reusable = self.parser.should_keep_alive() and not self.strays


def readable(value: bytes) -> str:
    """Return a header value that can be written as UTF-8, which CBOR and the callers' side need.

    Bytes that are no UTF-8 are read as Latin-1, the charset of HTTP/1.0, and travel on as UTF-8.
    """
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")
