"""Further tries beside a first one that takes long."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from marjoramtide.exchange import RequestFailedError, Response


@attrs.define(slots=True, eq=False, repr=False)
class Hedge:
    """Runs the first try of a request in the request's own task, and others beside it if need be.

    Nearly all requests end with their first try, and a task for each would cost more than the rest
    of the hedging. A later try that brings a good answer ends the first by cancelling the task, in
    the way of ``asyncio.timeout``: where the count of cancellations is not back at what it was,
    somebody else has cancelled too, and that counts.

    ``start`` is called after the delay, ``failed`` with the end of a later try that brought no good
    answer while the first one runs on.
    """

    start: Callable[[], None]
    failed: Callable[["asyncio.Task[Response]"], object]
    running: "set[asyncio.Task[Response]]" = attrs.Factory(set)
    started: bool = False
    owner: "asyncio.Task[Any] | None" = None
    winner: "asyncio.Task[Response] | None" = None

    async def first(
        self, attempt: Coroutine[Any, Any, Response], delay_s: float | None
    ) -> Response | Exception:
        """Return the good answer that came first, or how the first try failed."""
        owner = self.owner = asyncio.current_task()
        assert owner is not None
        cancellations = owner.cancelling()
        loop = asyncio.get_running_loop()
        timer = None if delay_s is None else loop.call_later(delay_s, self.late)
        try:
            return await attempt
        except RequestFailedError as error:
            return error
        except asyncio.CancelledError:
            if self.winner is None or owner.uncancel() > cancellations:
                raise
            self.running.discard(self.winner)
            return self.winner.result()
        finally:
            self.owner = None
            if timer is not None:
                timer.cancel()

    def late(self) -> None:
        self.started = True
        self.start()

    def add(self, attempt: Coroutine[Any, Any, Response]) -> None:
        """Run another try beside the first."""
        task = asyncio.create_task(attempt)
        self.running.add(task)
        task.add_done_callback(self.ended)

    def ended(self, task: "asyncio.Task[Response]") -> None:
        # Once the first try has ended, whoever waits for the rest takes their ends.
        if self.owner is None or self.winner is not None or task.cancelled():
            return
        error = task.exception()
        if error is None and not task.result().is_server_error:
            self.winner = task
            self.owner.cancel()
        elif error is None or isinstance(error, RequestFailedError):
            self.running.discard(task)
            self.failed(task)
