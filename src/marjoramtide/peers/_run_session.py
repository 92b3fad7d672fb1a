"""The witness's end of a connection by which a node tells of its runs."""

import structlog
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, ConnectionClosedError

from marjoramtide.checked import is_unsigned_int
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.peers._codec import decode
from marjoramtide.peers._messages import RunsMessage
from marjoramtide.peers._run_listener import RunListener
from marjoramtide.peers._told_run import ToldRun

log = structlog.get_logger()

# Runs that are kept of one node: more than a backend server runs at once, its queue included.
MAX_RUNS = 4096


class RunSession:
    """Keeps what one node tells of its runs, and says what was left when its connection broke.

    What a process has written before it is killed arrives all the same, and its connections break
    at that moment. A connection that is closed as agreed says that its node lives, or has stopped
    as planned.
    """

    def __init__(
        self, socket: ServerConnection, peer: str, listener: RunListener, clock: Clock
    ) -> None:
        self.socket = socket
        self.peer = peer
        self.listener = listener
        self.clock = clock
        self.node = ""
        self.runs: dict[int, ToldRun] = {}

    async def run(self) -> None:
        """Read what the node tells until the connection ends."""
        try:
            async for frame in self.socket:
                self.take(decode(frame))  # type: ignore[arg-type]
        except ConnectionClosedError:
            if self.runs:
                self.listener.lost(self.node, list(self.runs.values()))
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

    def take(self, message: object) -> None:
        """Take in one message; raises ``bad-frame`` for anything but runs."""
        message = read_runs(message)
        self.node = self.node or message.node
        for ticket in message.ended:
            self.runs.pop(ticket, None)
        now = self.clock.monotonic()
        for ticket, fingerprint in message.begun:
            if len(self.runs) < MAX_RUNS:
                self.runs[ticket] = ToldRun(fingerprint, now)


def read_runs(message: object) -> RunsMessage:
    """Return a message of tickets and fingerprints; raises ``bad-frame`` for anything else."""
    if isinstance(message, RunsMessage):
        is_sound = all(map(is_unsigned_int, message.ended)) and all(
            isinstance(run, list) and len(run) == 2 and all(map(is_unsigned_int, run))
            for run in message.begun
        )
        if is_sound:
            return message
    raise MarjoramtideError(ErrorCode.BAD_FRAME, "no message of runs", step="peers.runs")
