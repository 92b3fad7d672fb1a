"""A caller whose requests somebody places who knows everything."""

import asyncio
import random
from functools import partial

import attrs

from bench.model._arrivals import Arrival
from bench.model._model_server import ModelServer
from bench.model._model_work import ModelWork, kind_of, work_of
from bench.model._oracle import Oracle
from bench.model._tally import RequestEnd

CALL_S = 0.0001


@attrs.define(slots=True, eq=False)
class OracleCaller:
    """Sends one request, with the work that it is under each policy, and its calls."""

    oracle: Oracle
    work: ModelWork
    caller_s: float

    async def call(self, arrival: Arrival) -> RequestEnd:
        """Return what became of a caller's request."""
        kind = self.work.kinds[arrival.kind]
        loop = asyncio.get_running_loop()
        began = loop.time()
        goal = began + kind.goal_ms / 1000 - self.caller_s
        deadline = began + kind.deadline_ms / 1000 - self.caller_s
        await asyncio.sleep(self.caller_s)
        placed, succeeded = await self.serve(f"{arrival.request_id}.0", goal, deadline, False)
        await asyncio.sleep(self.caller_s)
        reason = "" if succeeded else "server-error" if placed else "no room"
        took_ms = (loop.time() - began) * 1000
        return RequestEnd(kind.name, arrival.at_s, took_ms, reason, not placed)

    async def serve(
        self, request_id: str, goal: float, deadline: float, is_call: bool
    ) -> tuple[bool, bool]:
        """Tell whether a request was begun, and whether it succeeded."""
        kind = self.work.kinds[kind_of(request_id)]
        rng = self.work.rng(request_id)
        work_ms = work_of(kind, rng)
        made = [plan for plan in kind.calls if rng.random() < plan.share]
        drawn = random.Random(f"split {request_id}")
        server = await self.oracle.place(kind, work_ms, is_call, goal, deadline, drawn)
        if server is None:
            return False, False
        calls = partial(self.work.make_calls, server, request_id, deadline, made)
        return True, await self.oracle.run(server, work_ms, calls)

    async def call_made(self, server: ModelServer, request_id: str, deadline: float) -> bool:
        """Make a call for a running request."""
        await asyncio.sleep(CALL_S)
        _, succeeded = await self.serve(request_id, deadline, deadline, True)
        return succeeded
