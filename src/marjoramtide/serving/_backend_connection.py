"""A connection to the backend server."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import cast

import structlog

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import RequestBody
from marjoramtide.serving._backend_response import BackendResponse, accept_any, match_by_id
from marjoramtide.serving._close_reason import CloseReason
from marjoramtide.serving._exchange import Exchange
from marjoramtide.sockets import enable_keepalive

log = structlog.get_logger()

# The ids that a connection has carried take some 25 kB by then.
MAX_REQUESTS = 256


class BackendConnection(asyncio.Protocol):
    """Carries one request at a time; reused only after a complete response without extra bytes.

    No request id is sent twice on a connection. Failure otherwise: a server rejects a booking, runs
    it when it is sent once more, and a late second copy of the rejection is taken for the response,
    since it names the same id: the caller is told "not run", or the booking is sent a third time.
    ``sent_ids`` are the ids that it has carried; it is closed after ``MAX_REQUESTS`` of them.

    ``on_lost`` is called once, when the connection is closed. ``server_idle_timeout_s`` is the
    server's idle timeout, ``None`` if the last response did not state it. An idle connection may be
    reused until ``idle_until``, in seconds of the monotonic clock. ``close_reason`` is set if this
    node has closed the connection itself.
    """

    def __init__(self, peer: str, on_lost: "Callable[[BackendConnection], None]") -> None:
        self.peer = peer
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.response: BackendResponse | None = None
        self.body_task: asyncio.Task[None] | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.server_idle_timeout_s: float | None = None
        self.idle_until = 0.0
        self.close_reason: CloseReason | None = None
        self.sent_ids: set[str] = set()
        self.has_carried_request = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        enable_keepalive(transport.get_extra_info("socket"))

    def eof_received(self) -> None:
        if self.response is not None:
            self.response.server_closed()

    def connection_lost(self, exc: Exception | None) -> None:
        self.writable.set()
        if self.response is not None:
            reason = str(exc or "closed by the server")
            if self.close_reason is not None:
                reason = f"closed by this node: {self.close_reason}"
            self.log_cut(self.response, reason)
            self.response.connection_lost(reason)
        self.on_lost(self)

    def log_cut(self, response: BackendResponse, reason: str) -> None:
        """Log who closed the connection before the end of a response that has begun."""
        if response.has_ended or not response.has_head:
            return
        log.info(
            "serving.response_cut",
            code=ErrorCode.TRUNCATED,
            step="serving.read",
            peer=self.peer,
            reason=reason,
            has_length=not response.ends_at_close,
            received=response.received_bytes,
        )

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        if self.response is None or self.response.has_ended:
            # Unsolicited bytes would be parsed as the response to the next request and delivered
            # to the wrong caller. Those after a response whose caller still reads would be parsed,
            # if they don't end, for as long as that takes.
            self.abort(CloseReason.UNSOLICITED_DATA)
        else:
            self.response.feed(data)

    @property
    def is_usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def may_carry(self, request_id: str) -> bool:
        """Return whether a request with this id may be sent; an empty id is none."""
        return self.is_usable and request_id not in self.sent_ids

    def send(
        self,
        head: bytes,
        body: RequestBody,
        *,
        request_id: str = "",
        is_head_request: bool = False,
        named_request: Callable[[BackendResponse], str] | None = None,
    ) -> BackendResponse:
        """Send a request and return its response, which is still to be received.

        ``named_request`` returns the id of the request that a response names. Without it, any
        response is taken for the expected one.
        """
        assert self.transport is not None
        match = accept_any
        if named_request is not None:
            exchange = Exchange(request_id, is_first=not self.has_carried_request)
            match = partial(match_by_id, exchange, named_request)
        self.has_carried_request = True
        if request_id:
            self.sent_ids.add(request_id)
        self.response = response = BackendResponse(
            self.transport, self.peer, is_head_request=is_head_request, match=match
        )
        if body.inline is not None:
            self.transport.write(head + body.inline)
        else:
            self.transport.write(head)
            self.body_task = asyncio.create_task(self.send_body(body, response))
        return response

    async def send_body(self, body: RequestBody, response: BackendResponse) -> None:
        """Send a streamed body; the connection is closed if its length is not as announced."""
        try:
            sent = 0
            async for data in body.open():
                sent += len(data)
                if body.length is not None and sent > body.length:
                    raise ValueError(
                        f"the request body is longer than the announced {body.length} bytes"
                    )
                if data:
                    await self.write_chunk(data, chunked=body.length is None)
            if body.length is None:
                await self.write_chunk(b"", chunked=True)
            elif sent < body.length:
                raise ValueError(f"the request body ended after {sent} of {body.length} bytes")
        except Exception as error:
            response.fail(ErrorCode.BACKEND_FAILED, f"{type(error).__name__}: {error}")
            self.abort(CloseReason.UPLOAD_FAILED)

    async def write_chunk(self, data: bytes, *, chunked: bool) -> None:
        await self.writable.wait()
        if self.transport is None or self.transport.is_closing():
            raise ConnectionResetError("the connection was closed")
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)

    def finish_exchange(self) -> bool:
        """End an exchange; returns whether the connection can be reused, and closes it if not."""
        response, self.response = self.response, None
        is_body_sent = self.body_task is None or self.body_task.done()
        if response is None or not (
            response.is_complete and response.is_reusable and is_body_sent and self.is_usable
        ):
            self.abort(CloseReason.NOT_REUSABLE)
            return False
        if len(self.sent_ids) >= MAX_REQUESTS:
            self.abort(CloseReason.REQUEST_LIMIT)
            return False
        self.body_task = None
        self.server_idle_timeout_s = response.server_idle_timeout_s()
        return True

    def abort(self, reason: CloseReason) -> None:
        """Close the connection immediately."""
        if self.is_usable:
            self.close_reason = reason
        if self.body_task is not None:
            self.body_task.cancel()
        if self.transport is not None:
            self.transport.abort()
