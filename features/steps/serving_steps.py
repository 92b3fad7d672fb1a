"""Steps for the serving service with a fake backend server."""

import asyncio
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import attrs
from behave import given, then, when  # type: ignore[attr-defined]

from marjoramtide.clock import SystemClock
from marjoramtide.daemon._node import Node
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, Request, RequestBody, Response, inline_body
from marjoramtide.membership import MemberState
from marjoramtide.serving import (
    BackendState,
    BackendTransport,
    EndpointResponse,
    HealthChecker,
    ServingService,
)
from marjoramtide.settings import NodeSettings, RouteSettings, SettingsView
from marjoramtide.settings._freshness import Freshness
from marjoramtide.settings._locality import Locality
from marjoramtide.settings._tree_view import TreeSettingsView
from marjoramtide.telemetry import Metrics, Tracer

DEADLINE_S = 60.0


class SilentTransport(BackendTransport):
    """Starts every request and never responds."""

    def __init__(self) -> None:
        self.dispatched = asyncio.Event()

    async def send(
        self,
        request: Request,
        body: RequestBody,
        remaining_ms: float,
        on_dispatch: Callable[[], None],
    ) -> Response:
        on_dispatch()
        self.dispatched.set()
        await asyncio.get_running_loop().create_future()
        raise AssertionError("a silent server responded")

    async def read(self, path: str, timeout_s: float) -> EndpointResponse:
        if not path:
            raise NotRunError(ErrorCode.CONNECT_FAILED, "no path", step="test")
        return EndpointResponse(200, body=b"{}")

    def server_replaced(self) -> None:
        pass

    async def close(self) -> None:
        pass


class SingleRouteView:
    """Settings with the same route for all requests."""

    def route(self, service: str, path: str) -> RouteSettings:
        return RouteSettings(service=service)


class FailingKeyDispatcher:
    """Rejects every request for want of a claim, as while the store is down."""

    async def dispatch(self, execution: Any, forward: Any) -> Response:
        raise NotRunError(ErrorCode.STORE_UNAVAILABLE, "no claim", step="test")


def start_serving(context: Any, key_dispatcher: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.clock = SystemClock()
    context.transport = SilentTransport()
    view = cast(SettingsView, SingleRouteView())
    tracer = Tracer("n", context.clock, random.Random(1))
    context.serving = ServingService(
        "s", context.transport, key_dispatcher, view, context.clock, Metrics(), tracer
    )
    context.serving.open(RouteSettings(service="s"))
    context.serving.set_accepting(True)
    context.limit_before = context.serving.admission.report(0.0).limit


@given("the serving side of a node whose backend server never answers")
def given_serving(context: Any) -> None:
    start_serving(context, None)


@given("the serving side of a node whose claims are all refused")
def given_unclaimed(context: Any) -> None:
    start_serving(context, FailingKeyDispatcher())


@when("{count:d} bookings with keys are refused there")
def when_unclaimed(context: Any, count: int) -> None:
    deadline = context.clock.monotonic() + DEADLINE_S
    for number in range(count):
        request = Request(
            "s", "POST", "/", (), False, False, deadline, idempotency_key=f"key-{number}"
        )
        try:
            context.runner.run(context.serving.handle(request, inline_body()))
        except NotRunError:
            continue
        raise AssertionError("a booking without a claim was served")


@then("its limit is that of before")
def then_limit(context: Any) -> None:
    report = context.serving.admission.report(context.clock.monotonic())
    assert report.limit == context.limit_before, report


async def cancel_one(context: Any) -> None:
    deadline = context.clock.monotonic() + DEADLINE_S
    request = Request("s", "GET", "/", (), False, True, deadline)
    task = asyncio.create_task(context.serving.handle(request, inline_body()))
    await context.transport.dispatched.wait()
    context.transport.dispatched.clear()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@when("{count:d} lookups are cancelled while they run there")
def when_cancelled(context: Any, count: int) -> None:
    for _ in range(count):
        context.runner.run(cancel_one(context))


@then("its load report shows a success rate of 1 and nothing in use")
def then_healthy(context: Any) -> None:
    report = context.serving.admission.report(context.clock.monotonic())
    assert report.success_rate == 1, report
    assert report.in_use == 0, report


@given("its service is no longer in the settings")
def given_no_service(context: Any) -> None:
    context.serving.classifier.view = TreeSettingsView(Locality("r", "d"), cast(Freshness, None))


@then("a booking that reaches it is refused as not run")
def then_not_run(context: Any) -> None:
    deadline = context.clock.monotonic() + DEADLINE_S
    request = Request("s", "POST", "/", (), False, False, deadline)
    (result,) = context.runner.run(result_of(context.serving.handle(request, inline_body())))
    assert isinstance(result, NotRunError) and result.code == "unknown-service", repr(result)
    assert context.serving.idle.is_set()


async def result_of(work: Any) -> Any:
    return await asyncio.gather(work, return_exceptions=True)


@given("a node that is not started")
def given_node(context: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    settings = NodeSettings(
        service="s",
        region="r",
        data_centre="d",
        callers="127.0.0.1:1",
        peers="127.0.0.1:2",
        gossip="127.0.0.1:3",
        operators="127.0.0.1:4",
        backend="127.0.0.1:5",
        store="http://127.0.0.1:6",
        key="a key for tests only",
    )

    async def make() -> Node:
        return Node(settings)

    context.node = context.runner.run(make())
    context.cleanup.callback(lambda: context.runner.run(context.node.close()))


@when("its own record turns dead")
def when_superseded(context: Any) -> None:
    own = context.node.membership.self_member
    context.node.member_changed(attrs.evolve(own, state=MemberState.DEAD))


@then("it asks to be stopped")
def then_stopping(context: Any) -> None:
    assert context.node.stop_requested.is_set()


@when("settings with {count:d} connections come into force there")
def when_connections(context: Any, count: int) -> None:
    async def work() -> None:
        settings = RouteSettings(service="s", connections=count)
        context.node.view = SimpleNamespace(route=lambda service, path: settings)
        context.node.settings_changed(2)

    context.runner.run(work())


@then("it opens at most {count:d} connections to its backend server")
def then_limit_of_connections(context: Any, count: int) -> None:
    assert context.node.transport.max_connections == count, context.node.transport.max_connections


@when("its health is read with no path in the settings")
def when_no_path(context: Any) -> None:
    checker = HealthChecker(context.transport, context.clock, Metrics(), lambda state: None)
    checker.configure(RouteSettings(service="s", health_path=""))
    context.state = context.runner.run(checker.check())


@then("the backend server counts as ready")
def then_ready(context: Any) -> None:
    assert context.state is BackendState.READY, context.state
