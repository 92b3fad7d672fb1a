"""Requests that wait for a slot of the backend server."""

import asyncio
from collections.abc import Callable, Iterable

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import LoadReport, NotRunError
from marjoramtide.policy import Admission


class SlotQueue:
    """Wakes what waits as the admission gives slots, and refuses it once that is in vain.

    Requests are known by their tickets. All that leaves the queue without a slot has certainly not
    run. ``report`` returns the load at a time, which a refusal tells.
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
        """Return when a ticket has a slot; raises ``NotRunError`` where it gets none."""
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
        """Wake the tickets that were given a slot."""
        for ticket in tickets:
            waiter = self.waiting.get(ticket)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            elif waiter is None or waiter.cancelled():
                # Cancelled in the same turn of the loop: without this the slot is never freed.
                self.wake(self.admission.withdraw(ticket, self.clock.monotonic()))

    def resume(self, now: float) -> None:
        """Start what waited for the backend server's pace."""
        started = self.admission.resume(now) if self.waiting else []
        if started:
            self.wake(started)
            self.schedule_expiry()

    def schedule_expiry(self) -> None:
        """Look again when the first ticket can no longer finish in time."""
        due = self.admission.next_expiry()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due is not None:
            delay = max(0.0, due - self.clock.monotonic())
            self.timer = asyncio.get_running_loop().call_later(delay, self.reject_expired)

    def reject_expired(self) -> None:
        """Refuse at once what can no longer finish in time."""
        now = self.clock.monotonic()
        expired = self.admission.expire(now)
        retry_after_ms = self.admission.retry_after_ms(now) if expired else 0
        reason = "it could no longer finish in time"
        self.reject_tickets(expired, ErrorCode.DEADLINE, reason, retry_after_ms)
        self.wake(self.admission.resume(now))
        self.schedule_expiry()

    def reject_all(self, code: ErrorCode = ErrorCode.DRAINING) -> None:
        """Refuse all that waits, so that other nodes may take it.

        For a backend server that leaves: what waits for it would reach it seconds after it was told
        that nothing new would.
        """
        self.reject_tickets(
            self.admission.clear_queue(), code, "the backend server takes nothing more"
        )
        self.schedule_expiry()

    def reject_tickets(
        self, tickets: list[int], code: ErrorCode, reason: str, retry_after_ms: int = 0
    ) -> None:
        """Refuse tickets that the admission has dropped."""
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
        """Refuse one ticket, where it still waits."""
        waiter = self.waiting.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
            self.wake(self.admission.withdraw(ticket, self.clock.monotonic()))

    def close(self) -> None:
        """Look no more."""
        if self.timer is not None:
            self.timer.cancel()
