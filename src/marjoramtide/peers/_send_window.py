"""How much of a stream may still be sent before the reader has taken some."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.peers._byte_stream import CHUNK_BYTES, WINDOW_BYTES


class SendWindow:
    """Flow control for one stream, on the sending side."""

    def __init__(self) -> None:
        self.room = WINDOW_BYTES
        self.changed = asyncio.Event()

    def credit(self, size: int) -> None:
        """Note that the reader has taken ``size`` bytes; raises ``bad-frame`` for more than sent.

        A credit beyond that would lift the bound on what waits here for a slow reader.
        """
        if not 0 < size <= WINDOW_BYTES - self.room:
            raise MarjoramtideError(
                ErrorCode.BAD_FRAME, f"a credit of {size} bytes", step="peers.stream"
            )
        self.room += size
        self.changed.set()

    async def send_all(
        self, chunks: AsyncIterator[bytes], send: Callable[[bytes, bool], Awaitable[None]]
    ) -> None:
        """Send every chunk within the window, then an empty last one."""
        async for data in chunks:
            for start in range(0, len(data), CHUNK_BYTES):
                piece = data[start : start + CHUNK_BYTES]
                while self.room < len(piece):
                    self.changed.clear()
                    await self.changed.wait()
                self.room -= len(piece)
                await send(piece, False)
        await send(b"", True)
