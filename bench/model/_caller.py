"""A caller: one request, and its repetitions."""

import asyncio
import random
from collections.abc import Callable

import attrs

from bench.model._arrivals import Arrival
from bench.model._kind_plan import KindPlan
from bench.model._model_node import ModelNode
from bench.model._tally import RequestEnd
from marjoramtide.exchange import NotRunError, Request, RequestFailedError, Response

# The longest that a caller waits as it was told, as a share of the time it has left.
HONOURED_SHARE = 1 / 3
# How long a caller whose node is gone, or that was told nothing, waits before it comes back, in
# seconds; abusive ones wait as long whatever they were told.
AT_ONCE_S = 0.02
ABUSIVE_RETRIES = 3


@attrs.define(slots=True)
class Caller:
    """Sends one request to a node of its data centre, and again where that is safe.

    ``find`` returns a node that takes callers, ``None`` where there is none.
    """

    arrival: Arrival
    kind: KindPlan
    way_s: float
    find: Callable[[], ModelNode | None]
    rng: random.Random

    async def call(self) -> RequestEnd:
        """Return what became of the request."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        deadline = began + self.kind.deadline_ms / 1000
        tries = 1 + (ABUSIVE_RETRIES if self.arrival.abusive else self.kind.retries)
        failure: Exception | None = None
        for number in range(tries):
            if loop.time() >= deadline:
                break
            try:
                answer = await self.ask(number, deadline)
            except (RequestFailedError, ConnectionError) as error:
                failure = error
            else:
                if not answer.is_server_error:
                    return self.end(began, loop.time())
                failure = RuntimeError("server-error")
            if not self.may_repeat(failure):
                break
            await asyncio.sleep(self.wait_s(failure, deadline - loop.time()))
        return self.end(began, loop.time(), failure)

    async def ask(self, number: int, deadline: float) -> Response:
        """Make one try."""
        node = self.find()
        await asyncio.sleep(self.way_s)
        if node is None or not node.is_up:
            raise ConnectionRefusedError
        now = asyncio.get_running_loop().time()
        settings = node.view.find("callers", f"/{self.kind.name}/")
        request = Request(
            service=settings.service,
            method="GET" if self.kind.idempotent else "POST",
            target=f"/{self.kind.name}/",
            headers=(),
            urgent=settings.priority == "urgent",
            idempotent=self.kind.idempotent,
            deadline=deadline - self.way_s,
            depth=1,
            request_id=f"{self.arrival.request_id}.{number}",
            rank=settings.rank,
            goal=now + settings.goal_ms / 1000,
        )
        try:
            return await node.dispatch(request, settings)
        except asyncio.CancelledError:
            if node.is_up:
                raise
            raise ConnectionResetError from None
        finally:
            await asyncio.sleep(self.way_s)

    def may_repeat(self, failure: Exception) -> bool:
        """Tell whether the request may be sent again: nothing ran, or that does no harm."""
        unsent = isinstance(failure, NotRunError | ConnectionRefusedError)
        return self.kind.idempotent or unsent

    def wait_s(self, failure: Exception, left_s: float) -> float:
        """Return how long the caller waits before it comes back."""
        told_ms = getattr(failure, "retry_after_ms", None)
        if self.arrival.abusive or told_ms is None or not isinstance(failure, NotRunError):
            return AT_ONCE_S
        return max(0.0, min(told_ms / 1000, left_s * HONOURED_SHARE))

    def end(self, began: float, now: float, failure: Exception | None = None) -> RequestEnd:
        reason = ""
        if failure is not None:
            reason = str(getattr(failure, "code", "")) or str(failure) or type(failure).__name__
        not_run = isinstance(failure, NotRunError | ConnectionRefusedError)
        return RequestEnd(self.kind.name, self.arrival.at_s, (now - began) * 1000, reason, not_run)
