"""Credit-based flow control for sending a stream."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.peers._byte_stream import CHUNK_BYTES, WINDOW_BYTES


class SendWindow:
    """The flow-control window of one stream, on the sending side."""

    def __init__(self) -> None:
        self.available_bytes = WINDOW_BYTES
        self.credit_added = asyncio.Event()

    def add_credit(self, size: int) -> None:
        """Add ``size`` bytes of credit; raises ``bad-frame`` if it exceeds what was sent.

        Excess credit would lift the bound on what is buffered here for a slow reader.
        """
        if not 0 < size <= WINDOW_BYTES - self.available_bytes:
            raise MarjoramtideError(
                ErrorCode.BAD_FRAME, f"invalid credit of {size} bytes", step="peers.stream"
            )
        self.available_bytes += size
        self.credit_added.set()

    async def send_all(
        self, chunks: AsyncIterator[bytes], send: Callable[[bytes, bool], Awaitable[None]]
    ) -> None:
        """Send all chunks within the window, then an empty last one."""
        async for data in chunks:
            for start in range(0, len(data), CHUNK_BYTES):
                piece = data[start : start + CHUNK_BYTES]
                while self.available_bytes < len(piece):
                    self.credit_added.clear()
                    await self.credit_added.wait()
                self.available_bytes -= len(piece)
                await send(piece, False)
        await send(b"", True)
