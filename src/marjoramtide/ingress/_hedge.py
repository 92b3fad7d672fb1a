"""Hedged attempts: further attempts in parallel with a slow first one."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from marjoramtide.exchange import RequestFailedError, Response


@attrs.define(slots=True, eq=False, repr=False)
class Hedge:
    """Runs the first attempt in the request's own task, and later ones in tasks of their own.

    Nearly all requests end with their first attempt, and a task for each would cost more than all
    the rest of hedging. A later attempt that succeeds ends the first by cancelling the request's
    task, the way ``asyncio.timeout`` does: if the count of cancellations doesn't return to its
    earlier value, somebody else has cancelled the task too, and that cancellation takes effect.

    ``start_hedge`` is called after the hedge delay, ``on_failure`` with the task of a later attempt
    that ended without a successful response while the first one is still running.
    """

    start_hedge: Callable[[], None]
    on_failure: Callable[["asyncio.Task[Response]"], object]
    tasks: "set[asyncio.Task[Response]]" = attrs.Factory(set)
    delay_passed: bool = False
    first_task: "asyncio.Task[Any] | None" = None
    winner: "asyncio.Task[Response] | None" = None

    async def run_first(
        self, attempt: Coroutine[Any, Any, Response], delay_s: float | None
    ) -> Response | Exception:
        """Return the first successful response, or the failure of the first attempt."""
        first_task = self.first_task = asyncio.current_task()
        assert first_task is not None
        cancellations = first_task.cancelling()
        loop = asyncio.get_running_loop()
        timer = None if delay_s is None else loop.call_later(delay_s, self.on_delay)
        try:
            return await attempt
        except RequestFailedError as error:
            return error
        except asyncio.CancelledError:
            if self.winner is None or first_task.uncancel() > cancellations:
                raise
            self.tasks.discard(self.winner)
            return self.winner.result()
        finally:
            self.first_task = None
            if timer is not None:
                timer.cancel()

    def on_delay(self) -> None:
        self.delay_passed = True
        self.start_hedge()

    def add(self, attempt: Coroutine[Any, Any, Response]) -> None:
        """Run another attempt in parallel."""
        task = asyncio.create_task(attempt)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task: "asyncio.Task[Response]") -> None:
        # Once the first attempt has ended, the dispatcher waits for the remaining tasks itself.
        if self.first_task is None or self.winner is not None or task.cancelled():
            return
        error = task.exception()
        if error is None and not task.result().is_server_error:
            self.winner = task
            self.first_task.cancel()
        elif error is None or isinstance(error, RequestFailedError):
            self.tasks.discard(task)
            self.on_failure(task)
