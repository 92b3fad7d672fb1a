"""The body of a request: small ones in one piece, large ones as a stream."""

from collections.abc import AsyncIterator

import attrs

from marjoramtide.errors import MarjoramtideError

MAX_INLINE_BYTES = 64 * 1024
# Of a body in memory that goes to another node, up to so much travels with the head.
MAX_BYTES_WITH_HEAD = 4 * 1024


@attrs.define(slots=True, eq=False, repr=False)
class RequestBody:
    """A body that can be read again, or a stream that can be opened once.

    A body of up to ``INLINE_BYTES`` is held in memory and may be sent to a second node. A larger
    one is read from the caller only when a serving node has admitted the request; from then on
    ``opened`` is true and no other node can be given it. ``error`` tells how the caller's stream
    broke off, so that its fault is not taken for the backend server's.
    """

    inline: bytes | None = None
    stream: AsyncIterator[bytes] | None = None
    length: int | None = None
    is_opened: bool = False
    error: MarjoramtideError | None = None

    @property
    def repeatable(self) -> bool:
        """Tell whether the body can still be sent from its beginning."""
        return self.inline is not None or not self.is_opened

    @property
    def content(self) -> bytes:
        """Return what tells this body from others, at any node.

        Of a long one that is its length: a node that has not been sent it yet knows no more.
        """
        if self.inline is not None and len(self.inline) <= MAX_BYTES_WITH_HEAD:
            return b"\n" + self.inline
        return f"{self.length}".encode()

    def for_peer(self) -> "RequestBody":
        """Return the body as another node is sent it: a long one once the request is admitted.

        Failure: a scarce service is sent more uploads than it can do. The links beside its servers
        are full of bodies of requests that are refused, and answers, calls and settings wait behind
        them for up to a second.
        """
        if self.inline is None or len(self.inline) <= MAX_BYTES_WITH_HEAD:
            return self
        return stream_body(pieces(self.inline), len(self.inline))

    async def buffered(self) -> "RequestBody":
        """Return a body in memory of one that is short enough to be held there, else itself."""
        if self.stream is None or self.length is None or self.length > MAX_INLINE_BYTES:
            return self
        return inline_body(b"".join([piece async for piece in self.open()]))

    def open(self) -> AsyncIterator[bytes]:
        """Return the chunks of a streamed body, once."""
        if self.stream is None or self.is_opened:
            raise RuntimeError("the body is not a stream, or was opened before")
        self.is_opened = True
        return self.stream


def inline_body(data: bytes = b"") -> RequestBody:
    """Return a body that is wholly in memory."""
    return RequestBody(inline=data, length=len(data))


async def pieces(data: bytes) -> AsyncIterator[bytes]:
    """Yield a body that is in memory."""
    yield data


def stream_body(stream: AsyncIterator[bytes], length: int | None) -> RequestBody:
    """Return a body that is read as it is sent; ``length`` in bytes, ``None`` where not known."""
    return RequestBody(stream=stream, length=length)
