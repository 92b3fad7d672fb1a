"""The connections that this node opens to its peers."""

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
from marjoramtide.peers._in_flight_link import InFlightLink
from marjoramtide.peers._lanes import CONTROL, IN_FLIGHT, ROUTINE, URGENT
from marjoramtide.peers._limits import (
    CLOSE_TIMEOUT_S,
    MAX_FRAME_BYTES,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
)
from marjoramtide.peers._link import Link
from marjoramtide.peers._peer_probe_result import PeerProbeResult
from marjoramtide.sockets import enable_keepalive

CONNECT_TIMEOUT_S = 0.5


class PeerClient:
    """Sends requests and questions to peers, over one connection per peer and lane.

    Urgent and routine requests have separate connections. On a shared one, an urgent request would
    wait behind a large routine body in the connection's buffers, whatever capacity the serving node
    has reserved for it. Bodies are sent in chunks, which bounds how much of one request is in a
    connection's buffer.
    """

    def __init__(self, key: str, clock: Clock) -> None:
        self.key = key
        self.clock = clock
        self.links: dict[tuple[str, str], Link] = {}
        self.opening_tasks: dict[tuple[str, str], asyncio.Task[Link]] = {}
        self.probe_tasks: set[asyncio.Task[Link]] = set()
        self.closing_tasks: set[asyncio.Task[None]] = set()

    async def request(self, address: str, request: Request, body: RequestBody) -> Response:
        """Send a request to the node at ``address``; raises as ``RequestHandler.handle``."""
        link = await self.get_link(address, URGENT if request.urgent else ROUTINE)
        remaining_ms = (request.deadline - self.clock.monotonic()) * 1000
        if remaining_ms <= 0:
            raise NotRunError(
                ErrorCode.DEADLINE, "the deadline has passed", step="peers.send", peer=address
            )
        return await link.request(request, body, remaining_ms)

    async def ask(
        self, address: str, subject: str, body: dict[str, Any], timeout: float, small: bool = False
    ) -> dict[str, Any]:
        """Ask the node at ``address`` a question.

        A ``small`` one is sent over any connection that is open, since a handshake costs both nodes
        more than a hundred small questions.
        """
        try:
            async with asyncio.timeout(timeout):
                link = self.find_open_link(address) if small else None
                link = link or await self.get_link(address, CONTROL)
                return await link.ask(subject, body)
        except TimeoutError as error:
            raise MarjoramtideError(
                ErrorCode.PEER_LOST, f"no reply within {timeout} s", step="peers.ask", peer=address
            ) from error
        except RequestFailedError as error:
            raise MarjoramtideError(
                ErrorCode.PEER_LOST, error.message, step="peers.ask", peer=address
            ) from error

    def find_open_link(self, address: str) -> Link | None:
        """Return an open connection to a node in any lane, or ``None``."""
        found = (self.links.get((address, lane)) for lane in (CONTROL, ROUTINE, URGENT))
        return next((link for link in found if link is not None and not link.is_closed), None)

    async def get_link(self, address: str, lane: str) -> Link:
        """Return the open connection, or open one; concurrent callers share the attempt."""
        link_key = (address, lane)
        link = self.links.get(link_key)
        if link is not None and not link.is_closed:
            return link
        task = self.opening_tasks.get(link_key)
        if task is None:
            task = self.opening_tasks[link_key] = asyncio.create_task(self.open_link(address, lane))
            task.add_done_callback(lambda done: self.link_opened(link_key, done))
        # Cancelling one caller must not cancel the attempt that others wait for.
        return await asyncio.shield(task)

    def link_opened(self, link_key: tuple[str, str], task: "asyncio.Task[Link]") -> None:
        self.opening_tasks.pop(link_key, None)
        if not task.cancelled() and task.exception() is None:
            self.add_link(link_key, task.result())

    def add_link(self, link_key: tuple[str, str], link: Link) -> None:
        """Use this connection for all that is sent to its peer in its lane from now on."""
        self.links[link_key] = link
        link.reader_task.add_done_callback(lambda _: self.link_closed(link_key, link))

    def link_closed(self, link_key: tuple[str, str], link: Link) -> None:
        """Remove a closed connection, unless it has been replaced already."""
        if self.links.get(link_key) is link:
            del self.links[link_key]

    async def open_link(self, address: str, lane: str) -> Link:
        """Open a connection for requests or questions."""
        return Link(await self.open_socket(address, lane), address, lane)

    async def open_in_flight_link(self, address: str, node: str) -> InFlightLink:
        """Open a connection over which this node, ``node``, reports its requests in flight.

        Raises ``NotRunError`` if it can't be opened.
        """
        return InFlightLink(await self.open_socket(address, IN_FLIGHT), node)

    async def open_socket(self, address: str, lane: str) -> ClientConnection:
        """Connect and complete the handshake; no part of a request is sent before."""
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

    async def probe(self, address: str, timeout_s: float) -> PeerProbeResult:
        """Open a new connection to find out whether a node is alive.

        An existing connection is no evidence: it may be broken without this process having read
        that yet. If the node is alive and there is no other connection to it, the new one is kept
        for the next request.
        """
        task = asyncio.create_task(self.open_link(address, ROUTINE))
        self.probe_tasks.add(task)
        task.add_done_callback(lambda done: self.probe_finished((address, ROUTINE), done))
        await asyncio.wait([task], timeout=timeout_s)
        if not task.done() or task.cancelled():
            return PeerProbeResult.UNKNOWN
        error = task.exception()
        if error is None:
            return PeerProbeResult.ALIVE
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return PeerProbeResult.REFUSED if is_refused else PeerProbeResult.UNKNOWN

    def probe_finished(self, link_key: tuple[str, str], task: "asyncio.Task[Link]") -> None:
        """Keep the connection that a probe has opened, or close it if there is one already."""
        self.probe_tasks.discard(task)
        if task.cancelled() or task.exception() is not None:
            return
        existing = self.links.get(link_key)
        if existing is None or existing.is_closed:
            self.add_link(link_key, task.result())
        else:
            closing = asyncio.create_task(task.result().close())
            self.closing_tasks.add(closing)
            closing.add_done_callback(self.closing_tasks.discard)

    async def abort_links(self, address: str) -> None:
        """Abort the connections to a peer that is known to be dead.

        The outcome of requests on them becomes unknown at once, rather than at their deadlines.
        There is no closing handshake, since a dead peer would not answer it, and urgent requests
        would have to wait until the connection of the routine ones has timed out.
        """
        link_keys = [link_key for link_key in self.links if link_key[0] == address]
        await asyncio.gather(*(self.links.pop(link_key).abort() for link_key in link_keys))

    async def close(self) -> None:
        """Close all connections."""
        tasks = [*self.opening_tasks.values(), *self.probe_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *self.closing_tasks, return_exceptions=True)
        await asyncio.gather(*(link.close() for link in self.links.values()))
        self.links.clear()
