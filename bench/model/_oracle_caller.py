"""A caller whose requests the oracle places."""

import asyncio
import random
from functools import partial

import attrs

from bench.model._arrivals import Arrival
from bench.model._model_server import ModelServer
from bench.model._model_work import ModelWork, draw_work_ms, request_kind
from bench.model._oracle import Oracle
from bench.model._tally import RequestOutcome

CALL_LATENCY_S = 0.0001


@attrs.define(slots=True, eq=False)
class OracleCaller:
    """Sends requests and their nested requests, with the same work as under each policy."""

    oracle: Oracle
    work: ModelWork
    caller_latency_s: float

    async def call(self, arrival: Arrival) -> RequestOutcome:
        """Return the outcome of a caller's request."""
        kind = self.work.kinds[arrival.kind]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        goal = started_at + kind.goal_ms / 1000 - self.caller_latency_s
        deadline = started_at + kind.deadline_ms / 1000 - self.caller_latency_s
        await asyncio.sleep(self.caller_latency_s)
        was_placed, succeeded = await self.serve(f"{arrival.request_id}.0", goal, deadline, False)
        await asyncio.sleep(self.caller_latency_s)
        reason = "" if succeeded else "server-error" if was_placed else "no room"
        took_ms = (loop.time() - started_at) * 1000
        return RequestOutcome(kind.name, arrival.at_s, took_ms, reason, not was_placed)

    async def serve(
        self, request_id: str, goal: float, deadline: float, is_call: bool
    ) -> tuple[bool, bool]:
        """Tell whether a request was started, and whether it succeeded."""
        kind = self.work.kinds[request_kind(request_id)]
        rng = self.work.rng(request_id)
        work_ms = draw_work_ms(kind, rng)
        call_plans = [plan for plan in kind.calls if rng.random() < plan.share]
        split_rng = random.Random(f"split {request_id}")
        server = await self.oracle.place(kind, work_ms, is_call, goal, deadline, split_rng)
        if server is None:
            return False, False
        calls = partial(self.work.make_calls, server, request_id, deadline, call_plans)
        return True, await self.oracle.run(server, work_ms, calls)

    async def make_nested_call(self, server: ModelServer, request_id: str, deadline: float) -> bool:
        """Send a nested request for a running request."""
        await asyncio.sleep(CALL_LATENCY_S)
        _, succeeded = await self.serve(request_id, deadline, deadline, True)
        return succeeded
