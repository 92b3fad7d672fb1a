"""Reading the body that a caller sends."""

from collections.abc import AsyncIterator

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import INLINE_BYTES, RequestBody, inline_body, stream_body


def too_large(limit: int) -> MarjoramtideError:
    """Return the error for a body above the route's limit."""
    return MarjoramtideError(
        ErrorCode.BODY_TOO_LARGE, f"the body is over {limit} bytes", step="ingress.read_body"
    )


async def read_body(http: web.BaseRequest, limit: int) -> RequestBody:
    """Read a small body whole; leave a large one unread until it is admitted.

    Raises ``body-too-large`` at once where the length is declared above ``limit``; where it is
    not declared, the stream raises it.
    """
    if not http.can_read_body:
        return inline_body()
    length = http.content_length
    if length is not None and length > limit:
        raise too_large(limit)
    if http.headers.get("Expect", "").lower() == "100-continue":
        await http._payload_writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    first = bytearray()
    while len(first) <= INLINE_BYTES and not http.content.at_eof():
        if length is not None and length > INLINE_BYTES:
            break
        first += await http.content.readany()
    if http.content.at_eof() and len(first) <= INLINE_BYTES:
        return inline_body(bytes(first))
    return stream_body(rest(http, bytes(first), limit), length)


async def rest(http: web.BaseRequest, first: bytes, limit: int) -> AsyncIterator[bytes]:
    """Yield what was read and then the rest, as far as the limit allows."""
    size = len(first)
    if first:
        yield first
    while not http.content.at_eof():
        data = await http.content.readany()
        size += len(data)
        if size > limit:
            raise too_large(limit)
        if data:
            yield data
