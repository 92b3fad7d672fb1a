"""What each request is in work, and the calls that it makes while it runs."""

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
"""Makes one call; tells whether it succeeded."""


def kind_of(request_id: str) -> str:
    """Return the kind that stands in an id: ``kind/number`` with what tells tries apart."""
    return request_id.partition("/")[0]


@attrs.define(slots=True, eq=False)
class ModelWork:
    """Draws a request's work from its id, so that it is the same under each policy.

    ``call`` makes a call from the node beside a server and tells whether it succeeded.
    """

    deployment: Deployment
    seed: int
    call: Callable[[ModelServer, str, float], Awaitable[bool]]
    kinds: dict[str, KindPlan] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.kinds = {kind.name: kind for kind in self.deployment.kinds}

    def rng(self, request_id: str) -> random.Random:
        """Return the source of all that is drawn for a request."""
        return random.Random(f"{self.seed} {request_id}")

    async def run(self, server: ModelServer, request: Request) -> bool:
        """Run a request at a server; tell whether it succeeded."""
        kind = self.kinds[kind_of(request.request_id)]
        rng = self.rng(request.request_id)
        work_ms = work_of(kind, rng)
        made = [plan for plan in kind.calls if rng.random() < plan.share]
        calls = partial(self.make_calls, server, request.request_id, request.deadline, made)
        return await server.run(work_ms, calls)

    async def make_calls(
        self, server: ModelServer, name: str, deadline: float, plans: Sequence[CallPlan]
    ) -> bool:
        """Make the calls of a request; tell whether all of them succeeded."""
        for plan in plans:
            made = [
                partial(self.call, server, call_id(name, plan, number), deadline)
                for number in range(plan.times)
            ]
            if not await (all_together(made) if plan.together else all_in_turn(made)):
                return False
        return True


def call_id(name: str, plan: CallPlan, number: int) -> str:
    """Return the id of a call that the request ``name`` makes."""
    return f"{plan.kind}/{name}.{plan.kind}.{number}"


async def all_together(calls: Sequence[Call]) -> bool:
    """Make calls at the same time; tell whether all of them succeeded."""
    return all(await asyncio.gather(*(call() for call in calls)))


async def all_in_turn(calls: Sequence[Call]) -> bool:
    """Make calls one after the other, up to the first that fails."""
    for call in calls:
        if not await call():
            return False
    return True


def work_of(kind: KindPlan, rng: random.Random) -> float:
    """Draw the undisturbed work of one request, in milliseconds, around the kind's mean."""
    if not kind.spread:
        return kind.work_ms
    shape = 1 / kind.spread**2
    return kind.work_ms * rng.gammavariate(shape, 1 / shape)
