"""The work of each request and its nested requests."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

import attrs

from bench.model._call_plan import CallPlan
from bench.model._deployment import Deployment
from bench.model._kind_plan import KindPlan
from bench.model._model_server import ModelServer
from marjoramtide.exchange import Request

Call = Callable[[], Awaitable[bool]]
"""Sends one nested request; returns whether it succeeded."""


def request_kind(request_id: str) -> str:
    """Return the kind part of a request id, which is ``kind/number`` and a suffix per attempt."""
    return request_id.partition("/")[0]


@attrs.define(slots=True, eq=False)
class ModelWork:
    """Draws a request's work from its id, so that it is the same under each policy.

    ``call`` sends a nested request from the node beside a server and returns whether it succeeded.
    """

    deployment: Deployment
    seed: int
    call: Callable[[ModelServer, str, float], Awaitable[bool]]
    kinds: dict[str, KindPlan] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.kinds = {kind.name: kind for kind in self.deployment.kinds}

    def rng(self, request_id: str) -> random.Random:
        """Return the random generator of a request."""
        return random.Random(f"{self.seed} {request_id}")

    async def run(self, server: ModelServer, request: Request) -> bool:
        """Run a request at a server; return whether it succeeded."""
        kind = self.kinds[request_kind(request.request_id)]
        rng = self.rng(request.request_id)
        work_ms = draw_work_ms(kind, rng)
        plans = [plan for plan in kind.calls if rng.random() < plan.share]
        calls = partial(self.make_calls, server, request.request_id, request.deadline, plans)
        return await server.run(work_ms, calls)

    async def make_calls(
        self, server: ModelServer, request_id: str, deadline: float, plans: Sequence[CallPlan]
    ) -> bool:
        """Send the nested requests of a request; return whether all of them succeeded."""
        for plan in plans:
            calls = [
                partial(self.call, server, nested_request_id(request_id, plan, number), deadline)
                for number in range(plan.times)
            ]
            if not await (run_concurrently(calls) if plan.together else run_in_sequence(calls)):
                return False
        return True


def nested_request_id(request_id: str, plan: CallPlan, number: int) -> str:
    """Return the id of a nested request that the request ``request_id`` sends."""
    return f"{plan.kind}/{request_id}.{plan.kind}.{number}"


async def run_concurrently(calls: Sequence[Call]) -> bool:
    """Send nested requests concurrently; return whether all of them succeeded."""
    return all(await asyncio.gather(*(call() for call in calls)))


async def run_in_sequence(calls: Sequence[Call]) -> bool:
    """Send nested requests one after the other, up to the first failure."""
    for call in calls:
        if not await call():
            return False
    return True


def draw_work_ms(kind: KindPlan, rng: random.Random) -> float:
    """Draw the execution time of one request without slowdown, gamma-distributed."""
    if not kind.spread:
        return kind.work_ms
    shape = 1 / kind.spread**2
    return kind.work_ms * rng.gammavariate(shape, 1 / shape)
