"""The ends of the backend server beside this node, and what is put down to them."""

import asyncio

import structlog

from marjoramtide.clock import Clock
from marjoramtide.serving._end_watch import EndWatch
from marjoramtide.serving._execution import Execution
from marjoramtide.serving._run import Run
from marjoramtide.serving._run_guard import RunGuard
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

# Suspects that the log names one by one at the end of a backend server; the rest are counted.
NAMED_SUSPECTS = 24


class ServerEnds:
    """Follows the runs of the backend server, and tells the log and the guard of its ends."""

    def __init__(self, service: str, guard: RunGuard, clock: Clock, metrics: Metrics) -> None:
        self.service = service
        self.guard = guard
        self.clock = clock
        self.metrics = metrics
        self.watch = EndWatch()
        self.timer: asyncio.TimerHandle | None = None

    def began(self, execution: Execution) -> None:
        """Note that from here on the backend server may have begun a request."""
        request = execution.request
        now = self.clock.monotonic()
        run = Run(execution.fingerprint, request.request_id, request.label, now)
        self.watch.began(execution.ticket, run)

    def run_ended(self, execution: Execution, *, cancelled: bool) -> None:
        """Note how a run ended; more than once for the same one does nothing."""
        if execution.answered:
            self.watch.answered(execution.ticket, self.clock.monotonic())
            return
        now = self.clock.monotonic()
        broken = not cancelled and now < execution.deadline
        lost = self.watch.unanswered(execution.ticket, broken=broken, now=now)
        self._put_down(lost, "refused")
        self._look_for_silence()

    def refused(self) -> None:
        """Note that nobody listens at the backend server's address."""
        self._put_down(self.watch.refused(self.clock.monotonic()), "refused")

    def read(self, *, answered: bool, asked_at: float) -> None:
        """Note whether the backend server's endpoint answered what it was asked at ``asked_at``."""
        now = self.clock.monotonic()
        if answered:
            self.watch.alive(asked_at, now)
        else:
            self.watch.unread(now)
            self._look_for_silence()

    def replaced(self) -> None:
        """Note that another start has taken the backend server's place."""
        self._put_down(self.watch.replaced(), "replaced")
        self.guard.server_replaced()

    def _look_for_silence(self) -> None:
        """Put down what the backend server runs where it is silent, or look again when it is."""
        now = self.clock.monotonic()
        self._put_down(self.watch.silent(now), "silent")
        if self.timer is not None:
            self.timer.cancel()
        silent_at = self.watch.silent_at()
        if silent_at is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(silent_at - now, self._look_for_silence)

    def close(self) -> None:
        """Look no more."""
        if self.timer is not None:
            self.timer.cancel()

    def _put_down(self, suspects: list[Run], sign: str) -> None:
        if not suspects:
            return
        now = self.clock.monotonic()
        self.metrics.count("serving.server_ends")
        log.warning(
            "serving.server_ended",
            step="serving.ends",
            sign=sign,
            service=self.service,
            suspects=len(suspects),
            runs=[run.told(now) for run in suspects[:NAMED_SUSPECTS]],
        )
        self.guard.server_ended(suspects)
