"""The connections of this node to its peers."""

import asyncio
from typing import Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestBody,
    RequestFailedError,
    Response,
)
from marjoramtide.peers._client_connection import PeerClientConnection
from marjoramtide.peers._handshake import HANDSHAKE_TIMEOUT_S, open_as_client
from marjoramtide.peers._lanes import CONTROL, ROUTINE, RUNS, URGENT
from marjoramtide.peers._limits import (
    CLOSE_TIMEOUT_S,
    MAX_FRAME_BYTES,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
)
from marjoramtide.peers._link import Link
from marjoramtide.peers._peer_sign import PeerSign
from marjoramtide.peers._run_link import RunLink
from marjoramtide.sockets import enable_keepalive

CONNECT_TIMEOUT_S = 0.5


class PeerClient:
    """Sends requests and questions to peers, over one connection for each peer and lane.

    Urgent and routine requests travel on connections of their own: a large routine body in a
    connection's buffers would otherwise stand before an urgent request, which would wait for it
    whatever the serving node has reserved. Chunks bound what one request puts on a connection.
    """

    def __init__(self, key: str, clock: Clock) -> None:
        self.key = key
        self.clock = clock
        self.links: dict[tuple[str, str], Link] = {}
        self.opening: dict[tuple[str, str], asyncio.Task[Link]] = {}
        self.looks: set[asyncio.Task[Link]] = set()
        self.closing: set[asyncio.Task[None]] = set()

    async def request(self, address: str, request: Request, body: RequestBody) -> Response:
        """Have the node at ``address`` serve a request; raises as ``RequestHandler.handle``."""
        link = await self.link(address, URGENT if request.urgent else ROUTINE)
        remaining_ms = (request.deadline - self.clock.monotonic()) * 1000
        if remaining_ms <= 0:
            raise NotRunError(
                ErrorCode.DEADLINE, "no time is left", step="peers.send", peer=address
            )
        return await link.request(request, body, remaining_ms)

    async def ask(
        self, address: str, subject: str, body: dict[str, Any], timeout: float, small: bool = False
    ) -> dict[str, Any]:
        """Ask the node at ``address`` a question, a ``small`` one by any connection that is open.

        A handshake costs both nodes more than a hundred small questions.
        """
        try:
            async with asyncio.timeout(timeout):
                link = self.any_open(address) if small else None
                link = link or await self.link(address, CONTROL)
                return await link.ask(subject, body)
        except TimeoutError as error:
            raise MarjoramtideError(
                ErrorCode.PEER_LOST, f"no reply in {timeout} s", step="peers.ask", peer=address
            ) from error
        except RequestFailedError as error:
            raise MarjoramtideError(
                ErrorCode.PEER_LOST, error.message, step="peers.ask", peer=address
            ) from error

    def any_open(self, address: str) -> Link | None:
        """Return an open connection to a node, whatever it is for."""
        found = (self.links.get((address, lane)) for lane in (CONTROL, ROUTINE, URGENT))
        return next((link for link in found if link is not None and not link.closed), None)

    async def link(self, address: str, lane: str) -> Link:
        """Return the open connection, or open one; callers that come meanwhile share it."""
        name = (address, lane)
        link = self.links.get(name)
        if link is not None and not link.closed:
            return link
        task = self.opening.get(name)
        if task is None:
            task = self.opening[name] = asyncio.create_task(self.open(address, lane))
            task.add_done_callback(lambda done: self.opened(name, done))
        # A caller that gives up must not end the connection that others wait for.
        return await asyncio.shield(task)

    def opened(self, name: tuple[str, str], task: "asyncio.Task[Link]") -> None:
        self.opening.pop(name, None)
        if not task.cancelled() and task.exception() is None:
            self.keep(name, task.result())

    def keep(self, name: tuple[str, str], link: Link) -> None:
        """Use a connection for what is sent from now on."""
        self.links[name] = link
        link.reader.add_done_callback(lambda _: self.ended(name, link))

    def ended(self, name: tuple[str, str], link: Link) -> None:
        """Forget a connection that has ended, unless another has taken its place."""
        if self.links.get(name) is link:
            del self.links[name]

    async def open(self, address: str, lane: str) -> Link:
        """Open a connection for requests, or for questions."""
        return Link(await self.open_socket(address, lane), address, lane)

    async def open_runs(self, address: str, node: str) -> RunLink:
        """Open a connection by which this node, ``node``, tells what it runs.

        Raises ``NotRunError`` where there can't be one.
        """
        return RunLink(await self.open_socket(address, RUNS), node)

    async def open_socket(self, address: str, lane: str) -> ClientConnection:
        """Connect and prove the key; nothing of a request is sent before."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await connect(
                    f"ws://{address}/",
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    ping_interval=PING_INTERVAL_S,
                    ping_timeout=PING_TIMEOUT_S,
                    close_timeout=CLOSE_TIMEOUT_S,
                    create_connection=PeerClientConnection,
                    proxy=None,
                    user_agent_header=None,
                )
            enable_keepalive(socket.transport.get_extra_info("socket"))
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await open_as_client(socket, self.key, lane, address)
        except (OSError, TimeoutError, WebSocketException) as error:
            raise NotRunError(
                ErrorCode.CONNECT_FAILED,
                f"{type(error).__name__}: {error}",
                step="peers.connect",
                peer=address,
            ) from error
        except MarjoramtideError as error:
            raise NotRunError(error.code, error.message, step=error.step, peer=address) from error
        return socket

    async def look(self, address: str, timeout_s: float) -> PeerSign:
        """Find out by a new connection whether a node lives.

        A kept one tells nothing: that it has broken may not have been read yet. Where the node
        lives, the new one is kept for the next request if there is no other.
        """
        task = asyncio.create_task(self.open(address, ROUTINE))
        self.looks.add(task)
        task.add_done_callback(lambda done: self.looked((address, ROUTINE), done))
        await asyncio.wait([task], timeout=timeout_s)
        if not task.done() or task.cancelled():
            return PeerSign.UNKNOWN
        error = task.exception()
        if error is None:
            return PeerSign.LIVES
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return PeerSign.GONE if is_refused else PeerSign.UNKNOWN

    def looked(self, name: tuple[str, str], task: "asyncio.Task[Link]") -> None:
        """Keep the connection of a look, or close it where one is kept already."""
        self.looks.discard(task)
        if task.cancelled() or task.exception() is not None:
            return
        kept = self.links.get(name)
        if kept is None or kept.closed:
            self.keep(name, task.result())
        else:
            closing = asyncio.create_task(task.result().close())
            self.closing.add(closing)
            closing.add_done_callback(self.closing.discard)

    async def drop(self, address: str) -> None:
        """Close the connections to a peer that is known to be dead.

        Requests on them end as unknown at once, in place of waiting for their deadlines on a
        connection over which nothing will come. No closing handshake, which a dead peer would not
        answer: the urgent requests would wait until the routine ones' connection is given up.
        """
        names = [name for name in self.links if name[0] == address]
        await asyncio.gather(*(self.links.pop(name).abort() for name in names))

    async def close(self) -> None:
        """Close all connections."""
        tasks = [*self.opening.values(), *self.looks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *self.closing, return_exceptions=True)
        await asyncio.gather(*(link.close() for link in self.links.values()))
        self.links.clear()
