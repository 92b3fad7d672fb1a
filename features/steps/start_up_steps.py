"""Steps on the first moments of a node."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import aiohttp
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.ingress_callers_steps import answer_at_once
from features.steps.slowed_steps import SETTINGS, SlowedNodes
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.exchange import NotRunError, Request, Response, inline_body
from marjoramtide.ingress import Dispatcher, Ingress, StartupGrace
from marjoramtide.membership import Member, MemberState
from marjoramtide.settings import DEFAULTS, RouteSettings, Workspaces
from marjoramtide.telemetry import Metrics, Tracer

use_step_matcher("parse")

HANGS_S = 2.0


def make_member(name: str, service: str) -> Member:
    return Member(name, service, "r", "d", name, name, name, MemberState.READY)


def start_dispatcher(context: Any) -> None:
    own = make_member("own", "licencehub")
    context.members = []
    directory = SimpleNamespace(
        self_member=own,
        members=lambda: [own, *context.members],
        members_of=lambda service: context.members,
        find=lambda node: next(each for each in context.members if each.node == node),
        report_failure=lambda node: None,
    )
    view = SimpleNamespace(on_change=lambda listener: None, route=lambda service, path: SETTINGS)
    clock, rng = SystemClock(), random.Random(1)
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.nodes = SlowedNodes(set())
    context.start_up = StartupGrace(clock)
    context.dispatcher = Dispatcher(
        directory,
        view,
        None,
        context.nodes,
        clock,
        rng,
        Metrics(),
        Tracer("own", clock, rng),
        start_up=context.start_up,
    )


@given("a dispatcher in its first moments that knows nobody")
def given_first_moments(context: Any) -> None:
    start_dispatcher(context)
    context.start_up.begin()


@given("a dispatcher in its first moments that knows a node, and not what is held back")
def given_uninformed(context: Any) -> None:
    start_dispatcher(context)
    context.members = [make_member("a", "mapdesk")]
    context.informed = False
    context.start_up.is_quarantine_known = lambda: context.informed
    context.start_up.begin()


@given("a dispatcher that has long been up and knows nobody")
def given_long_up(context: Any) -> None:
    start_dispatcher(context)


@when("a request comes to it, and {seconds:g} s later news of {what}")
def request_before_news(context: Any, seconds: float, what: str) -> None:
    now = SystemClock().monotonic()
    request = Request("mapdesk", "POST", "/", (), False, False, now + 5, goal=now + 3)

    async def dispatch() -> Response | NotRunError:
        try:
            return await context.dispatcher.dispatch(request, inline_body(), SETTINGS)
        except NotRunError as error:
            return error
        finally:
            context.took_s = SystemClock().monotonic() - now

    async def work() -> Response | NotRunError:
        asked = asyncio.create_task(dispatch())
        await asyncio.sleep(seconds)
        context.members = [make_member("a", "mapdesk")]
        context.informed = True
        context.start_up.notify()
        async with asyncio.timeout(HANGS_S):
            return await asked

    context.ended = context.runner.run(work())


@then("it is answered by that node")
def answered_by_it(context: Any) -> None:
    assert isinstance(context.ended, Response), context.ended
    assert context.nodes.asked == ["a"], context.nodes.asked


@then("it is answered by that node after {least:g} to {most:g} s")
def answered_after(context: Any, least: float, most: float) -> None:
    answered_by_it(context)
    assert least <= context.took_s <= most, context.took_s


@then("it was refused within {seconds:g} s as {code}")
def refused_within(context: Any, seconds: float, code: str) -> None:
    assert getattr(context.ended, "code", None) == code, context.ended
    assert context.ended.retry_after_ms, context.ended
    assert context.took_s < seconds, context.took_s


def start_port(context: Any) -> None:
    """Start a callers' port whose node holds no settings in force."""
    clock = SystemClock()
    context.freeze = FreezeDetector(clock)
    context.view = SimpleNamespace(
        is_current=False,
        revision=0,
        node_values=DEFAULTS,
        workspaces=Workspaces(),
        find=lambda host, path: RouteSettings(service=host),
        on_change=lambda listener: None,
    )
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.start_up = StartupGrace(clock, context.freeze)
    context.ingress = Ingress(
        "n",
        context.view,
        SimpleNamespace(dispatch=answer_at_once),
        clock,
        Metrics(),
        Tracer("n", clock, random.Random(1)),
        start_up=context.start_up,
    )
    context.runner.run(context.ingress.start("127.0.0.1", 0))
    context.cleanup.callback(lambda: context.runner.run(context.ingress.close()))


@given("a callers' port in its first moments without settings")
def given_port(context: Any) -> None:
    start_port(context)
    context.start_up.begin()


@given("a callers' port that has long been up, and stood still for {seconds:g} s")
def given_stopped_port(context: Any, seconds: float) -> None:
    start_port(context)
    context.freeze.last_look -= seconds


@when("a caller asks there, and {seconds:g} s later the settings come")
def asks_before_settings(context: Any, seconds: float) -> None:
    port = context.ingress.runner.addresses[0][1]

    async def ask() -> int:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{port}/tiles/7") as response,
        ):
            return response.status

    async def work() -> int:
        asked = asyncio.create_task(ask())
        await asyncio.sleep(seconds)
        context.view.is_current = True
        context.start_up.notify()
        async with asyncio.timeout(HANGS_S):
            return await asked

    context.status = context.runner.run(work())


@then("the caller gets {status:d}")
def caller_gets(context: Any, status: int) -> None:
    assert context.status == status, context.status
