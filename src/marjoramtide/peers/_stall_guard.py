"""Aborts connections whose send buffer has stalled."""

import asyncio

from websockets.asyncio.connection import Connection

from marjoramtide.peers._limits import STALL_TIMEOUT_S


class StallGuard(Connection):
    """Aborts a connection whose send buffer has been full for ``STALL_TIMEOUT_S`` seconds.

    Failure: a peer is stopped by a signal, or its host loses power, while much data is on its way
    to it. The library's pings wait behind the buffered data, and their timeout starts only when
    they are sent. The connection, with every request on it, would stay until TCP times out minutes
    later. The limit is far above the time that a live peer takes to read a full buffer.
    """

    stall_timer: asyncio.TimerHandle | None = None

    def pause_writing(self) -> None:
        super().pause_writing()
        self.stall_timer = self.loop.call_later(STALL_TIMEOUT_S, self.transport.abort)

    def resume_writing(self) -> None:
        self.cancel_stall_timer()
        super().resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self.cancel_stall_timer()
        super().connection_lost(exc)

    def cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
