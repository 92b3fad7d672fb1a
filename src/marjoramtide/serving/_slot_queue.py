"""Queue of requests that wait for a slot of the backend server."""

import asyncio
from collections.abc import Callable, Iterable

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import LoadReport, NotRunError
from marjoramtide.policy import Admission


class SlotQueue:
    """Wakes queued requests when they are admitted, and rejects those that expire.

    Requests are identified by tickets. A request that leaves the queue without a slot has certainly
    not run. ``report`` returns the load report for a given time; rejections carry it.
    """

    def __init__(
        self, admission: Admission, clock: Clock, report: Callable[[float], LoadReport]
    ) -> None:
        self.admission = admission
        self.clock = clock
        self.report = report
        self.waiting: dict[int, asyncio.Future[None]] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def wait(self, ticket: int) -> None:
        """Wait until a ticket gets a slot; raises ``NotRunError`` if it is rejected."""
        waiter = self.waiting[ticket] = asyncio.get_running_loop().create_future()
        self.schedule_expiry()
        try:
            await waiter
        except asyncio.CancelledError:
            self.wake(self.admission.withdraw(ticket, self.clock.monotonic()))
            raise
        finally:
            self.waiting.pop(ticket, None)

    def wake(self, tickets: Iterable[int]) -> None:
        """Wake the tickets that were admitted."""
        for ticket in tickets:
            waiter = self.waiting.get(ticket)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            elif waiter is None or waiter.cancelled():
                # The waiter was cancelled in the same iteration of the event loop; without this,
                # its slot would never be freed.
                self.wake(self.admission.withdraw(ticket, self.clock.monotonic()))

    def resume(self, now: float) -> None:
        """Wake requests that can start now that the backend server's speed or limit has changed."""
        admitted = self.admission.resume(now) if self.waiting else []
        if admitted:
            self.wake(admitted)
            self.schedule_expiry()

    def schedule_expiry(self) -> None:
        """Set the timer for the next ticket that can no longer finish before its deadline."""
        expires_at = self.admission.next_expiry()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if expires_at is not None:
            delay_s = max(0.0, expires_at - self.clock.monotonic())
            self.timer = asyncio.get_running_loop().call_later(delay_s, self.reject_expired)

    def reject_expired(self) -> None:
        """Reject tickets that can no longer finish before their deadlines."""
        now = self.clock.monotonic()
        expired = self.admission.expire(now)
        retry_after_ms = self.admission.retry_after_ms(now) if expired else 0
        reason = "the request could no longer finish before its deadline"
        self.reject_tickets(expired, ErrorCode.DEADLINE, reason, retry_after_ms)
        self.wake(self.admission.resume(now))
        self.schedule_expiry()

    def reject_all(self, code: ErrorCode = ErrorCode.DRAINING) -> None:
        """Reject all queued requests, so that other nodes can serve them.

        Used when the backend server leaves or is evacuated: queued requests would otherwise reach
        it seconds after it was promised no new work.
        """
        self.reject_tickets(
            self.admission.clear_queue(), code, "the backend server takes no more requests"
        )
        self.schedule_expiry()

    def reject_tickets(
        self, tickets: list[int], code: ErrorCode, reason: str, retry_after_ms: int = 0
    ) -> None:
        """Reject tickets that the admission has already removed."""
        report = self.report(self.clock.monotonic()) if tickets else None
        for ticket in tickets:
            waiter = self.waiting.get(ticket)
            if waiter is not None and not waiter.done():
                waiter.set_exception(
                    NotRunError(
                        code,
                        reason,
                        step="serving.queue",
                        retry_after_ms=retry_after_ms,
                        report=report,
                    )
                )

    def reject(self, ticket: int, error: NotRunError) -> None:
        """Reject one ticket, if it is still queued."""
        waiter = self.waiting.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
            self.wake(self.admission.withdraw(ticket, self.clock.monotonic()))

    def close(self) -> None:
        """Cancel the expiry timer."""
        if self.timer is not None:
            self.timer.cancel()
