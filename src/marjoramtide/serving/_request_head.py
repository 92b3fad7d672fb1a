"""Encoding of request heads for the backend server."""

from collections.abc import Iterable

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, Request, RequestBody

# RFC 9110, section 8.6: requests with these methods state a length even if the body is empty.
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))


def encode_head(
    request: Request, body: RequestBody, added: Iterable[tuple[str, str]], address: str
) -> bytes:
    """Return the encoded head, including the ``added`` headers.

    Raises ``NotRunError`` for a request that can't be encoded safely.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if not any(name.lower() == "host" for name, _ in request.headers):
        lines.append(f"Host: {address}")
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines += [f"{name}: {value}" for name, value in added]
    lines += framing_headers(request, body)
    text = "\r\n".join(lines)
    breaks = len(lines) - 1
    if lines[0].count(" ") != 2 or text.count("\r") != breaks or text.count("\n") != breaks:
        # Request smuggling: a line break inside a field would start another header or request, and
        # the backend server's next response would go to the wrong caller.
        raise NotRunError(
            ErrorCode.BAD_REQUEST, "a header field contains a line break", step="serving.send"
        )
    return (text + "\r\n\r\n").encode("utf-8", "surrogateescape")


def framing_headers(request: Request, body: RequestBody) -> list[str]:
    """Return the header that frames the body, if there is one."""
    if body.length is None:
        return ["Transfer-Encoding: chunked"]
    if body.length or request.method in METHODS_WITH_BODY:
        return [f"Content-Length: {body.length}"]
    return []
