"""The reporting side of a connection for requests in flight."""

import asyncio
from collections.abc import Mapping, Sequence

from websockets.asyncio.client import ClientConnection
from websockets.exceptions import ConnectionClosed

from marjoramtide.peers._codec import encode
from marjoramtide.peers._messages import InFlightMessage

# Unsent bytes above which the witness counts as stuck; it must not delay requests.
MAX_UNSENT_BYTES = 16 * 1024
# The timeout of the closing handshake. A planned stop must not wait for a frozen witness.
CLOSE_TIMEOUT_S = 0.2


class InFlightLink:
    """Reports this node's requests in flight to one witness.

    ``node`` is this node; it is sent with the first message.
    """

    def __init__(self, socket: ClientConnection, node: str) -> None:
        self.socket = socket
        self.node = node
        self.send_tasks: set[asyncio.Task[None]] = set()

    @property
    def is_stuck(self) -> bool:
        """Tell whether the witness has stopped reading from the connection."""
        return self.socket.transport.get_write_buffer_size() > MAX_UNSENT_BYTES

    async def report(self, started: Mapping[int, int], finished: Sequence[int]) -> None:
        """Report started requests, as fingerprints by ticket, and the tickets of finished ones.

        Once this returns the witness receives them even if this process crashes. Nothing is raised
        if the connection is broken: ``wait_closed`` returns then.
        """
        message = InFlightMessage(self.node, [[*item] for item in started.items()], list(finished))
        self.node = ""
        try:
            await self.socket.send(encode(message))
        except ConnectionClosed:
            return

    def report_later(self, finished: Sequence[int]) -> None:
        """Report finished requests without waiting until they are sent."""
        task = asyncio.create_task(self.report({}, finished))
        self.send_tasks.add(task)
        task.add_done_callback(self.send_tasks.discard)

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await self.socket.wait_closed()

    async def close(self) -> None:
        """Close with a closing handshake, so that the witness does not report a crash."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.socket.close()
        except TimeoutError:
            self.socket.transport.abort()
