"""Reading of request bodies from callers."""

from collections.abc import AsyncIterator

from aiohttp import HttpVersion11, web
from aiohttp.http_exceptions import HttpProcessingError

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import MAX_INLINE_BYTES, RequestBody, UnknownOutcomeError, inline_body

STEP = "ingress.read_body"


def too_large(limit: int) -> MarjoramtideError:
    """Return the error for a body that exceeds the route's limit."""
    return MarjoramtideError(ErrorCode.BODY_TOO_LARGE, f"the body is over {limit} bytes", step=STEP)


async def read_available(http_request: web.BaseRequest) -> bytes:
    """Return the part of the body that has arrived, at least one byte unless the body ends.

    Raises ``bad-request`` if the chunked encoding is invalid, and ``truncated`` if the caller
    disconnected: what was read is then incomplete and must not be used as the whole body.
    """
    try:
        return await http_request.content.readany()
    except (HttpProcessingError, web.RequestPayloadError) as error:
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST, "the body is not valid HTTP", step=STEP
        ) from error
    except OSError as error:
        raise MarjoramtideError(
            ErrorCode.TRUNCATED, "the caller disconnected before the end of the body", step=STEP
        ) from error


async def read_body(http_request: web.BaseRequest, limit: int) -> RequestBody:
    """Read a small body completely; leave a large one unread until the request is admitted.

    Raises ``body-too-large`` at once if the declared length exceeds ``limit``. If no length is
    declared, the stream raises it.
    """
    if not http_request.can_read_body:
        return inline_body()
    length = http_request.content_length
    if length is not None and length > limit:
        raise too_large(limit)
    first = bytearray()
    if length is None or length <= MAX_INLINE_BYTES:
        await send_continue(http_request)
        while len(first) <= MAX_INLINE_BYTES and not http_request.content.at_eof():
            first += await read_available(http_request)
        if len(first) > limit:
            raise too_large(limit)
        if http_request.content.at_eof() and len(first) <= MAX_INLINE_BYTES:
            return inline_body(bytes(first))
    body = RequestBody(length=length)
    body.stream = remaining_body(http_request, bytes(first), limit, body)
    return body


async def send_continue(http_request: web.BaseRequest) -> None:
    """Send ``100 Continue`` to a caller that expects it (RFC 9110, section 10.1.1)."""
    expects_continue = http_request.headers.get("Expect", "").lower() == "100-continue"
    if expects_continue and http_request.version == HttpVersion11:
        await http_request._payload_writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")


async def remaining_body(
    http_request: web.BaseRequest, first: bytes, limit: int, body: RequestBody
) -> AsyncIterator[bytes]:
    """Yield the part that was read and then the rest, up to the limit.

    The backend server has begun to read by now, so a body that fails leaves the outcome unknown;
    ``body.error`` marks the failure as the caller's and not the backend server's.
    """
    size = len(first)
    try:
        if first:
            yield first
        else:
            await send_continue(http_request)
        while not http_request.content.at_eof():
            data = await read_available(http_request)
            size += len(data)
            if size > limit:
                raise too_large(limit)
            if data:
                yield data
    except MarjoramtideError as error:
        body.error = UnknownOutcomeError(error.code, error.message, step=error.step)
        raise body.error from error
