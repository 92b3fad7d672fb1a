"""Steps that dispatch one request to scripted nodes."""

import asyncio
import random
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.clock import SystemClock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestBody,
    Response,
    UnknownOutcomeError,
    inline_body,
)
from marjoramtide.ingress import Dispatcher
from marjoramtide.policy import make_selector
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics, Tracer

use_step_matcher("parse")

HEDGE_DELAY_MS = 2.0
END_S = 5.0  # far below the deadline of the requests
SETTINGS = RouteSettings(service="mapdesk", hedge_budget=1.0, retry_budget=2.0)


@attrs.define(eq=False)
class ScriptedNodes:
    """Stands for the peers: each does what its script says, ``hang``, ``lose``, ``answer N``."""

    scripts: dict[str, str]
    asked: list[str] = attrs.Factory(list)
    cancelled: set[str] = attrs.Factory(set)
    open: set[str] = attrs.Factory(set)
    answering: Any = None

    async def request(self, address: str, request: Request, body: RequestBody) -> Response:
        self.asked.append(address)
        try:
            return await self.act(address)
        except asyncio.CancelledError:
            self.cancelled.add(address)
            raise

    async def act(self, node: str) -> Response:
        what, _, status = self.scripts[node].partition(" ")
        if what == "hang":
            await asyncio.Event().wait()
        delay_ms = float(status.split()[1]) if status.startswith("after") else 0.0
        await asyncio.sleep(delay_ms / 1000)
        if what == "unclaimed":
            raise NotRunError(
                ErrorCode.STORE_UNAVAILABLE, "no claim", step="test", retry_after_ms=1000
            )
        if what == "crash":
            raise UnknownOutcomeError(ErrorCode.BACKEND_FAILED, "ended", step="test", peer=node)
        if what == "lose":
            raise UnknownOutcomeError(ErrorCode.PEER_LOST, "lost", step="test", peer=node)
        self.open.add(node)
        if self.answering is not None:
            self.answering()

        async def cancel() -> None:
            self.open.discard(node)

        return Response(int(status), (("X-Node", node),), stream=no_chunks(), cancel=cancel)


async def no_chunks() -> AsyncIterator[bytes]:
    return
    yield b""


class InTurn:
    """Chooses the nodes in their order, and hedges after a fixed delay; notes what it is told."""

    def __init__(self, nodes: list[str], model: Any) -> None:
        self.nodes = nodes
        self.model = model
        self.told: list[str] = []

    def rejected(self, *_: Any, **__: Any) -> None:
        self.told.append("rejected")

    def lost(self, *_: Any, **__: Any) -> None:
        self.told.append("lost")

    def choose(self, profile: Any, now: float, excluded: Any = ()) -> str | None:
        return next((node for node in self.nodes if node not in excluded), None)

    def hedge_delay_ms(self, node: str, now: float, profile: Any = None) -> float:
        return HEDGE_DELAY_MS

    def __getattr__(self, name: str) -> Any:
        return getattr(self.model, name)


@given("a dispatcher with nodes that do {scripts}")
def make_dispatcher(context: Any, scripts: str) -> None:
    names = [f"node-{number}" for number in range(1, scripts.count(",") + 2)]
    context.nodes = ScriptedNodes(dict(zip(names, scripts.split(", "), strict=True)))
    clock = SystemClock()
    members = {name: SimpleNamespace(peer_address=name) for name in names}
    own = SimpleNamespace(node="self", region="r", data_centre="d", service="other")
    directory = SimpleNamespace(
        self_member=own,
        members=lambda: [own],
        members_of=lambda service: [],
        find=members.get,
        report_failure=lambda node: None,
    )
    view = SimpleNamespace(on_change=lambda listener: None, route=lambda service, path: SETTINGS)
    rng = random.Random(1)
    context.dispatcher = Dispatcher(
        directory, view, None, context.nodes, clock, rng, Metrics(), Tracer("self", clock, rng)
    )
    state = context.dispatcher.state("mapdesk")
    state.selector = InTurn(names, make_selector(SETTINGS, own, rng))


def start(context: Any, remaining_s: float = 60.0) -> "asyncio.Task[Response]":
    request = Request(
        "mapdesk",
        "GET",
        "/",
        (),
        urgent=False,
        idempotent=True,
        deadline=context.dispatcher.clock.monotonic() + remaining_s,
    )
    return asyncio.create_task(context.dispatcher.dispatch(request, inline_body(), SETTINGS))


async def end(task: "asyncio.Task[Response]") -> Any:
    async with asyncio.timeout(END_S):
        (ended,) = await asyncio.gather(task, return_exceptions=True)
    return ended


@when("an idempotent request is dispatched")
def dispatch(context: Any) -> None:
    async def work() -> Any:
        return await end(start(context))

    context.ended = asyncio.run(work())


@when("an idempotent request with {remaining:d} ms left is dispatched")
def dispatch_with_deadline(context: Any, remaining: int) -> None:
    async def work() -> Any:
        return await end(start(context, remaining / 1000))

    context.ended = asyncio.run(work())


@when("an idempotent request is dispatched, and its caller leaves once {count:d} tries run")
def leave_amid_tries(context: Any, count: int) -> None:
    async def work() -> Any:
        task = start(context)
        while len(context.nodes.asked) < count:
            await asyncio.sleep(0.001)
        task.cancel()
        return await end(task)

    context.ended = asyncio.run(work())


@when("an idempotent request is dispatched, and its caller leaves with the second answer")
def leave_with_answer(context: Any) -> None:
    async def work() -> Any:
        task = start(context)
        loop = asyncio.get_running_loop()
        # The turn after the try's end is the one in which the hedge cancels the first try.
        context.nodes.answering = lambda: loop.call_soon(task.cancel)
        return await end(task)

    context.ended = asyncio.run(work())


@then("the caller gets {status:d} from {node}")
def check_dispatched(context: Any, status: int, node: str) -> None:
    assert isinstance(context.ended, Response), repr(context.ended)
    assert (context.ended.status, context.ended.headers) == (status, (("X-Node", node),))
    context.nodes.open.discard(node)  # the one that is sent on to the caller


@then("the caller gets an unknown outcome with the code {code}")
def check_unknown_outcome(context: Any, code: str) -> None:
    assert isinstance(context.ended, UnknownOutcomeError), repr(context.ended)
    assert context.ended.code == code, context.ended.code


@then("the dispatch was cancelled")
def check_cancelled(context: Any) -> None:
    assert isinstance(context.ended, asyncio.CancelledError), repr(context.ended)


@then("the try at {node} was cancelled")
def check_try_cancelled(context: Any, node: str) -> None:
    assert node in context.nodes.cancelled, context.nodes.cancelled


@then("no answer is left open")
def check_none_open(context: Any) -> None:
    assert not context.nodes.open, context.nodes.open


@then("the selector takes no node for full or failing")
def then_nothing_told(context: Any) -> None:
    assert isinstance(context.ended, NotRunError), context.ended
    told = context.dispatcher.states["mapdesk"].selector.told
    assert not told, told


@given("one of the nodes has just refused for want of room")
def given_refused(context: Any) -> None:
    dispatcher = context.dispatcher
    dispatcher.states["mapdesk"].refused_at = dispatcher.clock.monotonic()


@then("{count:d} node was asked")
@then("{count:d} nodes were asked")
def then_asked(context: Any, count: int) -> None:
    assert len(context.nodes.asked) == count, context.nodes.asked
