"""A small HTTP/1.1 server and client for stand-ins, on asyncio streams."""

import asyncio


class Head:
    """A parsed request or response head with its body."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the next head, or ``None`` if the connection has ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), headers)


async def read_body(reader, headers, ends_at_close=False):
    """Return the whole body; raises ``IncompleteReadError`` if it is cut off."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read(-1) if ends_at_close else b""


async def read_request(reader):
    """Return the next request with its body, or ``None`` if the connection has ended."""
    head = await read_head(reader)
    if head is not None:
        try:
            head.body = await read_body(reader, head.headers)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return head


def encode(status, headers=(), body=b""):
    """Return an encoded response with its length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
