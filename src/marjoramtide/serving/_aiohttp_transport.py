"""The backend server over aiohttp's client."""

import asyncio
from collections.abc import AsyncIterator, Callable

import aiohttp
from yarl import URL

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import (
    INLINE_BYTES,
    OWN_ANSWER,
    Answer,
    NotRunError,
    Outcome,
    Request,
    RequestBody,
    UnknownOutcomeError,
    end_to_end,
)
from marjoramtide.serving._backend_transport import BackendTransport

CONNECT_TIMEOUT_S = 1.0
# Shorter than servers commonly keep an idle connection, so that a request seldom meets a close.
KEEP_ALIVE_S = 4.0


class AiohttpTransport(BackendTransport):
    """Keeps connections to one backend server, up to the number its settings allow."""

    def __init__(self, address: str, connections: int) -> None:
        self.address = address
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=connections, keepalive_timeout=KEEP_ALIVE_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            read_bufsize=INLINE_BYTES,
            max_line_size=16384,
            max_field_size=16384,
        )
        # The library sends GET, PUT or DELETE a second time by itself when a kept connection
        # breaks. A booking made by PUT, or by a GET that the settings call non-idempotent, would
        # run twice. Whether there is a second try is decided by the ingress node alone.
        self.session._retry_connection = False

    async def send(
        self,
        request: Request,
        body: RequestBody,
        remaining_ms: float,
        begun: Callable[[], None],
    ) -> Answer:
        headers = [*request.headers, ("Request-Timeout-Ms", str(max(1, int(remaining_ms))))]
        headers += [("Marjoramtide-Depth", str(request.depth)), ("Traceparent", request.trace)]
        data: bytes | AsyncIterator[bytes] | None
        if body.inline is not None:
            data = body.inline or None
        else:
            data = body.open()
            if body.length is not None:
                headers.append(("Content-Length", str(body.length)))
        url = URL(f"http://{self.address}{request.target}", encoded=True)
        begun()
        try:
            response = await self.session.request(
                request.method,
                url,
                headers=headers,
                data=data,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotRunError(
                ErrorCode.CONNECT_FAILED, str(error), step="serving.connect", peer=self.address
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise body.error or self.broken(error) from error
        return await self.read_answer(request, response)

    async def read_answer(self, request: Request, response: aiohttp.ClientResponse) -> Answer:
        """Read a small answer whole; hand on a large one as a stream."""
        try:
            headers = end_to_end(response.headers.items(), OWN_ANSWER)
            answer = Answer(
                response.status, tuple((name, readable(value)) for name, value in headers)
            )
            answer.length = response.content_length
            if request.method == "HEAD":
                response.close()
                return answer
            first = await self.read_first(response)
            if response.headers.get("Request-Outcome") == Outcome.NOT_RUN:
                raise self.refused(response)
            if response.content.at_eof():
                answer.body, answer.length = first, len(first)
                response.release()
                return answer
        except (aiohttp.ClientError, OSError) as error:
            response.close()
            raise self.broken(error) from error
        except BaseException:
            response.close()
            raise

        async def cancel() -> None:
            response.close()

        answer.stream = self.chunks(first, response)
        answer.cancel = cancel
        return answer

    async def read_first(self, response: aiohttp.ClientResponse) -> bytes:
        """Read up to ``INLINE_BYTES``, or the whole body where it is smaller."""
        pieces: list[bytes] = []
        size = 0
        while size < INLINE_BYTES and not response.content.at_eof():
            pieces.append(await response.content.readany())
            size += len(pieces[-1])
        return b"".join(pieces)

    async def chunks(self, first: bytes, response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
        """Yield the body; raises where it breaks off, so that a part is never taken for all."""
        try:
            yield first
            while not response.content.at_eof():
                yield await response.content.readany()
            response.release()
        except (aiohttp.ClientError, OSError) as error:
            raise self.broken(error) from error
        finally:
            # A connection with an unread rest would give the next request another's bytes.
            response.close()

    def broken(self, error: Exception) -> UnknownOutcomeError:
        return UnknownOutcomeError(
            (
                ErrorCode.TRUNCATED
                if isinstance(error, aiohttp.ClientPayloadError)
                else ErrorCode.BACKEND_FAILED
            ),
            f"{type(error).__name__}: {error}",
            step="serving.read",
            peer=self.address,
        )

    def refused(self, response: aiohttp.ClientResponse) -> NotRunError:
        draining = response.headers.get("Connection", "").lower() == "close"
        retry_after_ms = response.headers.get("Retry-After-Ms", "")
        return NotRunError(
            ErrorCode.DRAINING if draining else ErrorCode.OVERLOADED,
            "the backend server refused the request",
            step="serving.read",
            peer=self.address,
            retry_after_ms=int(retry_after_ms) if retry_after_ms.isdigit() else None,
        )

    async def read(self, path: str, timeout_s: float) -> tuple[int, bytes]:
        async with asyncio.timeout(timeout_s):
            async with self.session.get(URL(f"http://{self.address}{path}")) as response:
                return response.status, await response.content.read(INLINE_BYTES)

    async def close(self) -> None:
        await self.session.close()


def readable(value: str) -> str:
    """Return a header value that can be written as UTF-8.

    The library keeps bytes that are no UTF-8 as lone surrogates, which neither it nor CBOR can
    write. They are read as Latin-1, the charset of HTTP/1.0, and travel on as UTF-8.
    """
    if value.isascii():
        return value
    try:
        value.encode()
    except UnicodeEncodeError:
        return value.encode("utf-8", "surrogateescape").decode("latin-1")
    return value
