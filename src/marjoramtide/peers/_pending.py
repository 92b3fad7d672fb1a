"""A request sent to a peer, while its answer is awaited."""

import asyncio

import attrs

from marjoramtide.exchange import RequestBody, Response
from marjoramtide.peers._byte_stream import ByteStream
from marjoramtide.peers._send_window import SendWindow


@attrs.define(slots=True, eq=False, repr=False)
class Pending:
    """What the connection's reader needs to hand an answer to whoever waits for it."""

    answer: "asyncio.Future[Response]"
    body: RequestBody
    window: SendWindow = attrs.Factory(SendWindow)
    stream: ByteStream | None = None
    sender: "asyncio.Task[None] | None" = None

    def fail(self, error: Exception) -> None:
        """End the wait, or the stream of an answer that has begun, with an error."""
        if not self.answer.done():
            self.answer.set_exception(error)
            self.answer.exception()  # the request may still wait to be sent, and fail by that
        if self.stream is not None:
            self.stream.fail(error)
        if self.sender is not None:
            self.sender.cancel()
