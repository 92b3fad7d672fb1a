"""A bounded byte stream from the task that reads a connection to one consumer."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable

from marjoramtide.errors import ErrorCode, MarjoramtideError

WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = 64 * 1024
# Pieces up to this size are joined while they wait: an object takes more than a short piece.
JOINED_BYTES = 4 * 1024


class ByteStream:
    """An asynchronous iterator over received chunks, with a flow-control window.

    The sender may have at most ``WINDOW_BYTES`` in transit. For each chunk that the consumer has
    read, ``on_consumed`` is called, which sends the sender a credit. A sender that exceeds the
    window gets ``bad-frame``, so the memory of a stream is bounded whatever the peer does. Short
    pieces that wait are joined: a window full of single bytes would take forty times its size.
    """

    def __init__(self, on_consumed: Callable[[int], Awaitable[None]]) -> None:
        self.on_consumed = on_consumed
        self.chunks: deque[bytes | bytearray] = deque()
        self.buffered_bytes = 0
        self.is_complete = False
        self.error: Exception | None = None
        self.data_arrived = asyncio.Event()

    def feed(self, data: bytes, is_last: bool) -> None:
        """Append a received chunk; raises ``bad-frame`` if the peer was not allowed to send it."""
        self.buffered_bytes += len(data)
        # Empty chunks use no window, so any number of them could accumulate here.
        if (
            self.is_complete
            or not (data or is_last)
            or self.buffered_bytes > WINDOW_BYTES + CHUNK_BYTES
        ):
            raise MarjoramtideError(
                ErrorCode.BAD_FRAME,
                "the peer sent data beyond its flow-control window or after the last chunk",
                step="peers.stream",
            )
        self._append(data)
        self.is_complete = self.is_complete or is_last
        self.data_arrived.set()

    def _append(self, data: bytes) -> None:
        """Append a piece, or join a short one with those that wait."""
        if len(data) > JOINED_BYTES:
            self.chunks.append(data)
            return
        last = self.chunks[-1] if self.chunks else None
        if not isinstance(last, bytearray) or len(last) + len(data) > CHUNK_BYTES:
            last = bytearray()
            self.chunks.append(last)
        last += data

    def fail(self, error: Exception) -> None:
        """End the stream with an error, unless it is complete or has failed already."""
        if not self.is_complete and self.error is None:
            self.error = error
            self.data_arrived.set()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            while self.chunks:
                data = self.chunks.popleft()
                self.buffered_bytes -= len(data)
                if data:
                    yield bytes(data)
                    if not (self.is_complete and not self.chunks):
                        await self.on_consumed(len(data))
            if self.error is not None:
                raise self.error
            if self.is_complete:
                return
            self.data_arrived.clear()
            await self.data_arrived.wait()
