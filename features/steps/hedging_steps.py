"""Steps that dispatch one request to scripted nodes."""

import asyncio
import random
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.clock import SystemClock
from marjoramtide.errors import ErrorCode, MarjoramtideError
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
TIMEOUT_S = 5.0  # far below the deadline of the requests
SETTINGS = RouteSettings(service="mapdesk", hedge_budget=1.0, retry_budget=2.0)


@attrs.define(eq=False)
class ScriptedNodes:
    """Fake peers: each acts according to its script, such as ``hang``, ``lose`` or ``answer N``."""

    scripts: dict[str, str]
    requested: list[str] = attrs.Factory(list)
    cancelled: set[str] = attrs.Factory(set)
    open: set[str] = attrs.Factory(set)
    on_answer: Any = None

    async def request(self, address: str, request: Request, body: RequestBody) -> Response:
        self.requested.append(address)
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
        if what == "fail":
            raise MarjoramtideError(ErrorCode.BAD_FRAME, "no outcome", step="test", peer=node)
        if what == "crash":
            raise UnknownOutcomeError(ErrorCode.BACKEND_FAILED, "crashed", step="test", peer=node)
        if what == "lose":
            raise UnknownOutcomeError(ErrorCode.PEER_LOST, "lost", step="test", peer=node)
        self.open.add(node)
        if self.on_answer is not None:
            self.on_answer()

        async def cancel() -> None:
            self.open.discard(node)

        return Response(int(status), (("X-Node", node),), stream=no_chunks(), cancel=cancel)


async def no_chunks() -> AsyncIterator[bytes]:
    return
    yield b""


class InOrderSelector:
    """A selector that chooses nodes in order, hedges after a fixed delay and records failures."""

    def __init__(self, nodes: list[str], selector: Any) -> None:
        self.nodes = nodes
        self.selector = selector
        self.failures: list[str] = []

    def rejected(self, *_: Any, **__: Any) -> None:
        self.failures.append("rejected")

    def lost(self, *_: Any, **__: Any) -> None:
        self.failures.append("lost")

    def choose(self, profile: Any, now: float, excluded: Any = ()) -> str | None:
        return next((node for node in self.nodes if node not in excluded), None)

    def hedge_delay_ms(self, node: str, now: float, profile: Any = None) -> float:
        return HEDGE_DELAY_MS

    def __getattr__(self, name: str) -> Any:
        return getattr(self.selector, name)


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
    state = context.dispatcher.service_state("mapdesk")
    state.selector = InOrderSelector(names, make_selector(SETTINGS, own, rng))


def start(
    context: Any, remaining_s: float = 60.0, *, is_idempotent: bool = True
) -> "asyncio.Task[Response]":
    request = Request(
        "mapdesk",
        "GET",
        "/",
        (),
        urgent=False,
        idempotent=is_idempotent,
        deadline=context.dispatcher.clock.monotonic() + remaining_s,
    )
    return asyncio.create_task(context.dispatcher.dispatch(request, inline_body(), SETTINGS))


async def wait_for(task: "asyncio.Task[Response]") -> Any:
    async with asyncio.timeout(TIMEOUT_S):
        (result,) = await asyncio.gather(task, return_exceptions=True)
    return result


@when("an idempotent request is dispatched")
def dispatch(context: Any) -> None:
    async def work() -> Any:
        return await wait_for(start(context))

    context.result = asyncio.run(work())


@when("a non-idempotent request is dispatched")
def dispatch_non_idempotent(context: Any) -> None:
    async def work() -> Any:
        return await wait_for(start(context, is_idempotent=False))

    context.result = asyncio.run(work())


@when("an idempotent request with {remaining:d} ms left is dispatched")
def dispatch_with_deadline(context: Any, remaining: int) -> None:
    async def work() -> Any:
        return await wait_for(start(context, remaining / 1000))

    context.result = asyncio.run(work())


@when("an idempotent request is dispatched, and its caller disconnects once {count:d} attempts run")
def disconnect_during_attempts(context: Any, count: int) -> None:
    async def work() -> Any:
        task = start(context)
        while len(context.nodes.requested) < count:
            await asyncio.sleep(0.001)
        task.cancel()
        return await wait_for(task)

    context.result = asyncio.run(work())


@when("an idempotent request is dispatched, and its caller disconnects at the second response")
def disconnect_with_response(context: Any) -> None:
    async def work() -> Any:
        task = start(context)
        loop = asyncio.get_running_loop()
        # The hedge cancels the first attempt in the loop iteration after this one.
        context.nodes.on_answer = lambda: loop.call_soon(task.cancel)
        return await wait_for(task)

    context.result = asyncio.run(work())


@then("the caller gets {status:d} from {node}")
def check_dispatched(context: Any, status: int, node: str) -> None:
    assert isinstance(context.result, Response), repr(context.result)
    assert (context.result.status, context.result.headers) == (status, (("X-Node", node),))
    context.nodes.open.discard(node)  # this response is forwarded to the caller


@then("the caller gets an unknown outcome with the code {code}")
def check_unknown_outcome(context: Any, code: str) -> None:
    assert isinstance(context.result, UnknownOutcomeError), repr(context.result)
    assert context.result.code == code, context.result.code


@then("the dispatch was cancelled")
def check_cancelled(context: Any) -> None:
    assert isinstance(context.result, asyncio.CancelledError), repr(context.result)


@then("the attempt at {node} was cancelled")
def check_attempt_cancelled(context: Any, node: str) -> None:
    assert node in context.nodes.cancelled, context.nodes.cancelled


@then("no response is left open")
def check_none_open(context: Any) -> None:
    assert not context.nodes.open, context.nodes.open


@then("the selector counts no node as overloaded or failing")
def then_no_failure_recorded(context: Any) -> None:
    assert isinstance(context.result, NotRunError), context.result
    failures = context.dispatcher.service_states["mapdesk"].selector.failures
    assert not failures, failures


@given("one of the nodes has just rejected a request as overloaded")
def given_overloaded(context: Any) -> None:
    dispatcher = context.dispatcher
    dispatcher.service_states["mapdesk"].overloaded_at = dispatcher.clock.monotonic()


@then("{count:d} node got the request")
@then("{count:d} nodes got the request")
def then_requested(context: Any, count: int) -> None:
    assert len(context.nodes.requested) == count, context.nodes.requested
