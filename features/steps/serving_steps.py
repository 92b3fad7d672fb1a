"""Steps on the serving side with a backend server that is a fake."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

from behave import given, then, when  # type: ignore[attr-defined]

from marjoramtide.clock import SystemClock
from marjoramtide.exchange import Answer, NotRunError, Request, RequestBody, inline_body
from marjoramtide.serving import BackendTransport, ClaimGate, ServingService
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.settings._freshness import Freshness
from marjoramtide.settings._place import Place
from marjoramtide.settings._tree_view import TreeSettingsView
from marjoramtide.telemetry import Metrics, Tracer

FAR_S = 60.0


class SilentTransport(BackendTransport):
    """Begins every request and never answers."""

    def __init__(self) -> None:
        self.begun = asyncio.Event()

    async def send(
        self, request: Request, body: RequestBody, remaining_ms: float, begun: Callable[[], None]
    ) -> Answer:
        begun()
        self.begun.set()
        await asyncio.get_running_loop().create_future()
        raise AssertionError("a silent server answered")

    async def read(self, path: str, timeout_s: float) -> tuple[int, bytes]:
        return 200, b"{}"

    async def close(self) -> None:
        pass


class OneRoute:
    """Settings with one route for everything."""

    def route(self, service: str, path: str) -> RouteSettings:
        return RouteSettings(service=service)


@given("the serving side of a node whose backend server never answers")
def given_serving(context: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.clock = SystemClock()
    context.transport = SilentTransport()
    view = cast(SettingsView, OneRoute())
    tracer = Tracer("n", context.clock, random.Random(1))
    context.serving = ServingService(
        "s",
        context.transport,
        cast(ClaimGate, None),
        view,
        context.clock,
        Metrics(),
        tracer,
    )
    context.serving.open(RouteSettings(service="s"))
    context.serving.set_accepting(True)


async def cancel_one(context: Any) -> None:
    deadline = context.clock.monotonic() + FAR_S
    request = Request("s", "GET", "/", (), False, True, deadline)
    task = asyncio.create_task(context.serving.handle(request, inline_body()))
    await context.transport.begun.wait()
    context.transport.begun.clear()
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
    context.serving.view = TreeSettingsView(Place("r", "d"), cast(Freshness, None))


@then("a booking that reaches it is refused as not run")
def then_not_run(context: Any) -> None:
    deadline = context.clock.monotonic() + FAR_S
    request = Request("s", "POST", "/", (), False, False, deadline)
    (ended,) = context.runner.run(end_of(context.serving.handle(request, inline_body())))
    assert isinstance(ended, NotRunError) and ended.code == "unknown-service", repr(ended)
    assert context.serving.idle.is_set()


async def end_of(work: Any) -> Any:
    return await asyncio.gather(work, return_exceptions=True)
