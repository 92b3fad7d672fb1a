"""A caller that sends one request and retries it."""

import asyncio
import random
from collections.abc import Callable

import attrs

from bench.model._arrivals import Arrival
from bench.model._kind_plan import KindPlan
from bench.model._model_node import ModelNode
from bench.model._tally import RequestOutcome
from marjoramtide.exchange import NotRunError, Request, RequestFailedError, Response

# Upper bound of the wait for a retry-after hint, as a share of the time left to the deadline.
MAX_RETRY_AFTER_SHARE = 1 / 3
# Delay before a retry without a retry-after hint, for example after a refused connection. Abusive
# callers use it for all retries.
IMMEDIATE_RETRY_S = 0.02
ABUSIVE_RETRIES = 3


@attrs.define(slots=True)
class Caller:
    """Sends one request to a node of its data centre, and retries it if that is safe.

    ``find_node`` returns a node that accepts callers, or ``None``.
    """

    arrival: Arrival
    kind: KindPlan
    latency_s: float
    find_node: Callable[[], ModelNode | None]
    rng: random.Random

    async def call(self) -> RequestOutcome:
        """Return the outcome of the request after its last attempt."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + self.kind.deadline_ms / 1000
        attempts = 1 + (ABUSIVE_RETRIES if self.arrival.abusive else self.kind.retries)
        failure: Exception | None = None
        for number in range(attempts):
            if loop.time() >= deadline:
                break
            try:
                response = await self.send_attempt(number, deadline)
            except (RequestFailedError, ConnectionError) as error:
                failure = error
            else:
                if not response.is_server_error:
                    return self.outcome(started_at, loop.time())
                failure = RuntimeError("server-error")
            if not self.may_retry(failure):
                break
            await asyncio.sleep(self.retry_delay_s(failure, deadline - loop.time()))
        return self.outcome(started_at, loop.time(), failure)

    async def send_attempt(self, number: int, deadline: float) -> Response:
        """Send one attempt."""
        node = self.find_node()
        await asyncio.sleep(self.latency_s)
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
            deadline=deadline - self.latency_s,
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
            await asyncio.sleep(self.latency_s)

    def may_retry(self, failure: Exception) -> bool:
        """Tell whether a retry is safe: the request did not run, or it is idempotent."""
        is_not_run = isinstance(failure, NotRunError | ConnectionRefusedError)
        return self.kind.idempotent or is_not_run

    def retry_delay_s(self, failure: Exception, remaining_s: float) -> float:
        """Return the delay before the next attempt."""
        retry_after_ms = getattr(failure, "retry_after_ms", None)
        if self.arrival.abusive or retry_after_ms is None or not isinstance(failure, NotRunError):
            return IMMEDIATE_RETRY_S
        return max(0.0, min(retry_after_ms / 1000, remaining_s * MAX_RETRY_AFTER_SHARE))

    def outcome(
        self, started_at: float, now: float, failure: Exception | None = None
    ) -> RequestOutcome:
        reason = ""
        if failure is not None:
            reason = str(getattr(failure, "code", "")) or str(failure) or type(failure).__name__
        not_run = isinstance(failure, NotRunError | ConnectionRefusedError)
        return RequestOutcome(
            self.kind.name, self.arrival.at_s, (now - started_at) * 1000, reason, not_run
        )
