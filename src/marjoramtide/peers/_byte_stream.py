"""A bounded stream of bytes between the task that reads a connection and one consumer."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable

from marjoramtide.errors import ErrorCode, MarjoramtideError

WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024


class ByteStream:
    """Chunks in the order of their arrival, until the last one or an error.

    The sender may have at most ``WINDOW_BYTES`` on the way; each chunk that the consumer takes is
    reported through ``on_taken`` so that the sender learns of the room. A sender that ignores the
    window gets ``bad-frame``: memory for a stream stays bounded whatever the peer does.
    """

    def __init__(self, on_taken: Callable[[int], Awaitable[None]]) -> None:
        self.on_taken = on_taken
        self.chunks: deque[bytes] = deque()
        self.size = 0
        self.ended = False
        self.error: Exception | None = None
        self.arrived = asyncio.Event()

    def feed(self, data: bytes, last: bool) -> None:
        """Take a chunk off the connection; raises ``bad-frame`` where it may not come."""
        self.size += len(data)
        # Empty chunks cost no window, so that any number of them could pile up here.
        if self.ended or not (data or last) or self.size > WINDOW_BYTES + CHUNK_BYTES:
            raise MarjoramtideError(
                ErrorCode.BAD_FRAME, "the peer sent more than it may", step="peers.stream"
            )
        self.chunks.append(data)
        self.ended = self.ended or last
        self.arrived.set()

    def fail(self, error: Exception) -> None:
        """End the stream with an error, unless it has ended already."""
        if not self.ended and self.error is None:
            self.error = error
            self.arrived.set()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            while self.chunks:
                data = self.chunks.popleft()
                self.size -= len(data)
                if data:
                    yield data
                    if not (self.ended and not self.chunks):
                        await self.on_taken(len(data))
            if self.error is not None:
                raise self.error
            if self.ended:
                return
            self.arrived.clear()
            await self.arrived.wait()
