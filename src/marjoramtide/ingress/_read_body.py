"""Reading the body that a caller sends."""

from collections.abc import AsyncIterator

from aiohttp import HttpVersion11, web
from aiohttp.http_exceptions import HttpProcessingError

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import MAX_INLINE_BYTES, RequestBody, UnknownOutcomeError, inline_body

STEP = "ingress.read_body"


def too_large(limit: int) -> MarjoramtideError:
    """Return the error for a body above the route's limit."""
    return MarjoramtideError(ErrorCode.BODY_TOO_LARGE, f"the body is over {limit} bytes", step=STEP)


async def read_some(http: web.BaseRequest) -> bytes:
    """Return what has arrived of the body, at least one byte unless it is at its end.

    Raises ``bad-request`` where its chunks break the protocol, ``truncated`` where the caller has
    left: what was read is then not the whole body and must not be used as such.
    """
    try:
        return await http.content.readany()
    except (HttpProcessingError, web.RequestPayloadError) as error:
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST, "the body breaks the protocol", step=STEP
        ) from error
    except OSError as error:
        raise MarjoramtideError(
            ErrorCode.TRUNCATED, "the caller left amid the body", step=STEP
        ) from error


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
    first = bytearray()
    if length is None or length <= MAX_INLINE_BYTES:
        await invite(http)
        while len(first) <= MAX_INLINE_BYTES and not http.content.at_eof():
            first += await read_some(http)
        if len(first) > limit:
            raise too_large(limit)
        if http.content.at_eof() and len(first) <= MAX_INLINE_BYTES:
            return inline_body(bytes(first))
    body = RequestBody(length=length)
    body.stream = rest(http, bytes(first), limit, body)
    return body


async def invite(http: web.BaseRequest) -> None:
    """Tell a caller that waits for it to send the body (RFC 9110, section 10.1.1)."""
    expects = http.headers.get("Expect", "").lower() == "100-continue"
    if expects and http.version == HttpVersion11:
        await http._payload_writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")


async def rest(
    http: web.BaseRequest, first: bytes, limit: int, body: RequestBody
) -> AsyncIterator[bytes]:
    """Yield what was read and then the rest, as far as the limit allows.

    The backend server has begun to read by now, so a body that ends badly leaves the outcome
    unknown; ``body.error`` keeps the caller's fault apart from the backend server's.
    """
    size = len(first)
    try:
        if first:
            yield first
        else:
            await invite(http)
        while not http.content.at_eof():
            data = await read_some(http)
            size += len(data)
            if size > limit:
                raise too_large(limit)
            if data:
                yield data
    except MarjoramtideError as error:
        body.error = UnknownOutcomeError(error.code, error.message, step=error.step)
        raise body.error from error
