"""One connection to the backend server."""

import asyncio
from collections.abc import Callable
from typing import cast

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import RequestBody
from marjoramtide.serving._backend_response import BackendResponse
from marjoramtide.sockets import enable_keepalive


class BackendConnection(asyncio.Protocol):
    """Carries one request at a time; used again only after a whole answer with nothing behind it.

    ``lost`` is called once, when the connection has ended. ``told_idle_s`` is how long the server
    keeps it while it is idle, in seconds, ``None`` where the last answer did not tell; until
    ``idle_until``, in seconds of the monotonic clock, it may be used again.
    """

    def __init__(self, peer: str, lost: "Callable[[BackendConnection], None]") -> None:
        self.peer = peer
        self.lost = lost
        self.transport: asyncio.Transport | None = None
        self.reply: BackendResponse | None = None
        self.sender: asyncio.Task[None] | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.told_idle_s: float | None = None
        self.idle_until = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        enable_keepalive(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.writable.set()
        if self.reply is not None:
            self.reply.lost(exc)
        self.lost(self)

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        if self.reply is None:
            # Bytes that nobody asked for would be read as the answer to the next request, whose
            # caller would get another's.
            self.abort()
        else:
            self.reply.feed(data)

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def send(
        self,
        head: bytes,
        body: RequestBody,
        *,
        head_only: bool = False,
        belongs: Callable[[BackendResponse], bool] | None = None,
    ) -> BackendResponse:
        """Send a request and return its reply to be."""
        assert self.transport is not None
        self.reply = reply = BackendResponse(
            self.transport, self.peer, head_only=head_only, belongs=belongs
        )
        if body.inline is not None:
            self.transport.write(head + body.inline)
        else:
            self.transport.write(head)
            self.sender = asyncio.create_task(self.send_body(body, reply))
        return reply

    async def send_body(self, body: RequestBody, reply: BackendResponse) -> None:
        """Send a streamed body as its head announced it; anything else ends the connection."""
        try:
            sent = 0
            async for data in body.open():
                sent += len(data)
                if body.length is not None and sent > body.length:
                    raise ValueError(f"the body is longer than its {body.length} bytes")
                if data:
                    await self.write_piece(data, chunked=body.length is None)
            if body.length is None:
                await self.write_piece(b"", chunked=True)
            elif sent < body.length:
                raise ValueError(f"the body ended after {sent} of {body.length} bytes")
        except Exception as error:
            reply.fail(ErrorCode.BACKEND_FAILED, f"{type(error).__name__}: {error}")
            self.abort()

    async def write_piece(self, data: bytes, *, chunked: bool) -> None:
        await self.writable.wait()
        if self.transport is None or self.transport.is_closing():
            raise ConnectionResetError("the connection was closed")
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)

    def end(self) -> bool:
        """End an exchange whose answer was read; tell whether the connection may be used again."""
        reply, self.reply = self.reply, None
        body_sent = self.sender is None or self.sender.done()
        if reply is None or not (reply.complete and reply.reusable and body_sent and self.usable):
            self.abort()
            return False
        self.sender = None
        self.told_idle_s = reply.told_idle_s()
        return True

    def abort(self) -> None:
        """Close at once."""
        if self.sender is not None:
            self.sender.cancel()
        if self.transport is not None:
            self.transport.abort()
