"""The teller's end of a connection by which a node tells of its runs."""

import asyncio
from collections.abc import Mapping, Sequence

from websockets.asyncio.client import ClientConnection
from websockets.exceptions import ConnectionClosed

from marjoramtide.peers._codec import encode
from marjoramtide.peers._messages import InFlightMessage

# Bytes that may wait to be sent. A witness that takes nothing must not hold up requests.
MAX_UNSENT_BYTES = 16 * 1024
# For the answer to a close, in seconds. A planned stop must not wait for a witness that is stopped.
CLOSE_S = 0.2


class InFlightLink:
    """Tells one witness what this node runs; ``node`` is this node, told with the first message."""

    def __init__(self, socket: ClientConnection, node: str) -> None:
        self.socket = socket
        self.node = node
        self.sending: set[asyncio.Task[None]] = set()

    @property
    def is_stuck(self) -> bool:
        """Tell whether the witness takes nothing off the connection."""
        return self.socket.transport.get_write_buffer_size() > MAX_UNSENT_BYTES

    async def tell(self, begun: Mapping[int, int], ended: Sequence[int]) -> None:
        """Send runs that begin, by their tickets with their fingerprints, and tickets that end.

        Once this returns the process may end, and the witness gets them all the same. Where the
        connection has broken nothing is raised: ``wait_closed`` returns.
        """
        message = InFlightMessage(self.node, [[*item] for item in begun.items()], list(ended))
        self.node = ""
        try:
            await self.socket.send(encode(message))
        except ConnectionClosed:
            return

    def tell_later(self, ended: Sequence[int]) -> None:
        """Send tickets that end, without waiting for it."""
        task = asyncio.create_task(self.tell({}, ended))
        self.sending.add(task)
        task.add_done_callback(self.sending.discard)

    async def wait_closed(self) -> None:
        """Return when the connection has ended."""
        await self.socket.wait_closed()

    async def close(self) -> None:
        """Close the connection as agreed, so that the witness blames nothing for it."""
        try:
            async with asyncio.timeout(CLOSE_S):
                await self.socket.close()
        except TimeoutError:
            self.socket.transport.abort()
