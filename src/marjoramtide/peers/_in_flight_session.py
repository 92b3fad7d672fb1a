"""The witness's side of a connection for requests in flight."""

import structlog
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, ConnectionClosedError

from marjoramtide.checked import is_unsigned_int
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.peers._codec import decode
from marjoramtide.peers._in_flight_listener import InFlightListener
from marjoramtide.peers._messages import InFlightMessage
from marjoramtide.peers._reported_request import ReportedRequest

log = structlog.get_logger()

# The maximum for one node; more than a backend server runs at once, with its queue.
MAX_REQUESTS = 4096


class InFlightSession:
    """Tracks the requests in flight at one node, and reports them if its connection breaks.

    What a process has written before it is killed is still received, and its connections break at
    that moment. A connection closed with a closing handshake means that the node is alive, or has
    stopped as planned.
    """

    def __init__(
        self, socket: ServerConnection, peer: str, listener: InFlightListener, clock: Clock
    ) -> None:
        self.socket = socket
        self.peer = peer
        self.listener = listener
        self.clock = clock
        self.node = ""
        self.requests: dict[int, ReportedRequest] = {}

    async def run(self) -> None:
        """Read reports until the connection is closed."""
        try:
            async for frame in self.socket:
                self.handle_message(decode(frame))  # type: ignore[arg-type]
        except ConnectionClosedError:
            if self.requests:
                self.listener.on_reporter_lost(self.node, list(self.requests.values()))
        except ConnectionClosed:
            pass
        except MarjoramtideError as error:
            log.warning(
                "peers.bad_frame",
                code=error.code,
                step=error.step,
                peer=self.peer,
                reason=error.message,
            )
            await self.socket.close(1002, "bad frame")

    def handle_message(self, message: object) -> None:
        """Handle one report; raises ``bad-frame`` for any other message."""
        message = validate_in_flight_message(message)
        self.node = self.node or message.node
        for ticket in message.finished:
            self.requests.pop(ticket, None)
        now = self.clock.monotonic()
        for ticket, fingerprint in message.started:
            if len(self.requests) < MAX_REQUESTS:
                self.requests[ticket] = ReportedRequest(fingerprint, now)


def validate_in_flight_message(message: object) -> InFlightMessage:
    """Return a well-formed report of requests in flight; raises ``bad-frame`` for anything else."""
    if isinstance(message, InFlightMessage):
        is_sound = all(map(is_unsigned_int, message.finished)) and all(
            isinstance(entry, list) and len(entry) == 2 and all(map(is_unsigned_int, entry))
            for entry in message.started
        )
        if is_sound:
            return message
    raise MarjoramtideError(
        ErrorCode.BAD_FRAME, "not a report of requests in flight", step="peers.runs"
    )
