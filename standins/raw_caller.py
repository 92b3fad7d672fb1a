"""An HTTP client that sends arbitrary bytes."""

import asyncio
import re

import attrs

STATUS_LINE = re.compile(rb"^HTTP/[019.]+ (\d{3}) ", re.MULTILINE)
REPEAT = re.compile(r"<(\d+)>")
SILENCE_S = 0.3


@attrs.frozen(slots=True)
class RawResponse:
    """All bytes received on a connection, and whether the peer closed it."""

    data: bytes
    closed: bool

    @property
    def statuses(self) -> list[int]:
        """Return the final statuses of the responses, in order."""
        found = [int(text) for text in STATUS_LINE.findall(self.data)]
        return [status for status in found if status >= 200]


def unescape(text: str) -> bytes:
    r"""Return the bytes of ``text``: ``\r\n`` are escapes, ``<900>`` stands for 900 letters."""
    expanded = REPEAT.sub(lambda match: "a" * int(match[1]), text)
    return expanded.encode("latin-1").decode("unicode_escape").encode("latin-1")


async def read_response(reader: asyncio.StreamReader, silence_s: float) -> RawResponse:
    """Read until the connection closes or nothing arrives for ``silence_s``."""
    data = b""
    while True:
        try:
            async with asyncio.timeout(silence_s):
                piece = await reader.read(65536)
        except TimeoutError:
            return RawResponse(data, closed=False)
        except ConnectionError:
            return RawResponse(data, closed=True)
        if not piece:
            return RawResponse(data, closed=True)
        data += piece


async def send_raw(
    address: str, *pieces: bytes, pause_s: float = 0.05, silence_s: float = SILENCE_S
) -> RawResponse:
    """Send the pieces one after the other and read the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(pause_s)
            writer.write(piece)
            await writer.drain()
    except ConnectionError:
        pass
    try:
        return await read_response(reader, silence_s)
    finally:
        writer.close()
