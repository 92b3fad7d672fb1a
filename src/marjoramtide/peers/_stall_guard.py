"""An end for connections on which nothing goes out any more."""

import asyncio

from websockets.asyncio.connection import Connection

from marjoramtide.peers._limits import STALL_TIMEOUT_S


class StallGuard(Connection):
    """Ends a connection whose buffer has stayed full for ``STALL_TIMEOUT_S`` seconds.

    Failure: a peer is stopped by a signal, or its host is gone, while much is on its way to it. The
    library's own pings wait behind what fills the buffer, before their timeout begins: the
    connection would stay until TCP gives up, minutes later, with every request on it. The limit
    lies far above the time in which a peer that lives takes what is in the buffer.
    """

    stall_timer: asyncio.TimerHandle | None = None

    def pause_writing(self) -> None:
        super().pause_writing()
        self.stall_timer = self.loop.call_later(STALL_TIMEOUT_S, self.transport.abort)

    def resume_writing(self) -> None:
        self.stop_stall_timer()
        super().resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self.stop_stall_timer()
        super().connection_lost(exc)

    def stop_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
