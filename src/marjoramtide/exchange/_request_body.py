"""The body of a request: in memory if it is small, otherwise a stream."""

from collections.abc import AsyncIterator

import attrs

from marjoramtide.errors import MarjoramtideError

MAX_INLINE_BYTES = 64 * 1024
# A body in memory of up to this size is sent to another node together with the request head.
MAX_BYTES_WITH_HEAD = 4 * 1024


@attrs.define(slots=True, eq=False, repr=False)
class RequestBody:
    """A body in memory that can be sent repeatedly, or a stream that can be opened once.

    A body of up to ``MAX_INLINE_BYTES`` is held in memory and may be sent to a second node. A
    larger one is read from the caller only after a serving node has admitted the request; from then
    on ``is_opened`` is true and it can't be sent to another node. ``error`` is set if the caller's
    stream broke off, so that this is not taken for a failure of the backend server.
    """

    inline: bytes | None = None
    stream: AsyncIterator[bytes] | None = None
    length: int | None = None
    is_opened: bool = False
    error: MarjoramtideError | None = None

    @property
    def is_replayable(self) -> bool:
        """Return whether the body can still be sent from its beginning."""
        return self.inline is not None or not self.is_opened

    @property
    def fingerprint_input(self) -> bytes:
        """Return the bytes that distinguish this body from others, the same at all nodes.

        For a long body this is its length, since a node that has not received it knows no more.
        """
        if self.inline is not None and len(self.inline) <= MAX_BYTES_WITH_HEAD:
            return b"\n" + self.inline
        return f"{self.length}".encode()

    def for_peer(self) -> "RequestBody":
        """Return the body for sending to another node: a long one only after admission.

        Failure: an overloaded service is sent more uploads than it can handle. The links of its
        nodes are saturated by bodies of requests that are rejected, and responses, nested calls and
        settings are delayed behind them for up to a second.
        """
        if self.inline is None or len(self.inline) <= MAX_BYTES_WITH_HEAD:
            return self
        return stream_body(single_chunk(self.inline), len(self.inline))

    async def buffered(self) -> "RequestBody":
        """Return the body read into memory if it is small enough, else the body itself."""
        if self.stream is None or self.length is None or self.length > MAX_INLINE_BYTES:
            return self
        return inline_body(b"".join([chunk async for chunk in self.open()]))

    def open(self) -> AsyncIterator[bytes]:
        """Return the chunks of a streamed body; it can be called only once."""
        if self.stream is None or self.is_opened:
            raise RuntimeError("the body is not a stream, or was opened before")
        self.is_opened = True
        return self.stream


def inline_body(data: bytes = b"") -> RequestBody:
    """Return a body in memory."""
    return RequestBody(inline=data, length=len(data))


async def single_chunk(data: bytes) -> AsyncIterator[bytes]:
    """Yield a body in memory as one chunk."""
    yield data


def stream_body(stream: AsyncIterator[bytes], length: int | None) -> RequestBody:
    """Return a body that is streamed; ``length`` is in bytes, ``None`` if unknown."""
    return RequestBody(stream=stream, length=length)
