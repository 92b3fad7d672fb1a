"""A request that waits for the response of a peer."""

import asyncio

import attrs

from marjoramtide.exchange import RequestBody, Response
from marjoramtide.peers._byte_stream import ByteStream
from marjoramtide.peers._send_window import SendWindow


@attrs.define(slots=True, eq=False, repr=False)
class PendingRequest:
    """What the reader task needs to pass a response to the waiting request."""

    response: "asyncio.Future[Response]"
    body: RequestBody
    window: SendWindow = attrs.Factory(SendWindow)
    response_stream: ByteStream | None = None
    body_sender: "asyncio.Task[None] | None" = None

    def fail(self, error: Exception) -> None:
        """Fail the wait for the response, or its stream if the response has begun."""
        if not self.response.done():
            self.response.set_exception(error)
            self.response.exception()  # marked as retrieved: sending may fail before it is awaited
        if self.response_stream is not None:
            self.response_stream.fail(error)
        if self.body_sender is not None:
            self.body_sender.cancel()
