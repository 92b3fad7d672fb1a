"""Steps on the grace period of a node that has just started or was frozen."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import aiohttp
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.ingress_callers_steps import respond_at_once
from features.steps.slowed_steps import SETTINGS, SlowedNodes
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.exchange import NotRunError, Request, Response, inline_body
from marjoramtide.ingress import Dispatcher, Ingress, StartupGrace
from marjoramtide.membership import Member, MemberState
from marjoramtide.settings import DEFAULTS, RouteSettings, Workspaces
from marjoramtide.telemetry import Metrics, Tracer

use_step_matcher("parse")

TIMEOUT_S = 2.0


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
    context.startup_grace = StartupGrace(clock)
    context.dispatcher = Dispatcher(
        directory,
        view,
        None,
        context.nodes,
        clock,
        rng,
        Metrics(),
        Tracer("own", clock, rng),
        startup_grace=context.startup_grace,
    )


@given("a dispatcher in its grace period that knows no other nodes")
def given_grace_period(context: Any) -> None:
    start_dispatcher(context)
    context.startup_grace.begin()


@given("a dispatcher in its grace period that knows a node, but not which requests are quarantined")
def given_unknown_quarantine(context: Any) -> None:
    start_dispatcher(context)
    context.members = [make_member("a", "mapdesk")]
    context.is_quarantine_known = False
    context.startup_grace.is_quarantine_known = lambda: context.is_quarantine_known
    context.startup_grace.begin()


@given("a dispatcher that has long been up and knows no other nodes")
def given_long_up(context: Any) -> None:
    start_dispatcher(context)


@when("a request comes to it, and {seconds:g} s later it learns of {what}")
def request_before_update(context: Any, seconds: float, what: str) -> None:
    now = SystemClock().monotonic()
    request = Request("mapdesk", "POST", "/", (), False, False, now + 5, goal=now + 3)

    async def dispatch() -> Response | NotRunError:
        try:
            return await context.dispatcher.dispatch(request, inline_body(), SETTINGS)
        except NotRunError as error:
            return error
        finally:
            context.elapsed_s = SystemClock().monotonic() - now

    async def work() -> Response | NotRunError:
        task = asyncio.create_task(dispatch())
        await asyncio.sleep(seconds)
        context.members = [make_member("a", "mapdesk")]
        context.is_quarantine_known = True
        context.startup_grace.notify()
        async with asyncio.timeout(TIMEOUT_S):
            return await task

    context.result = context.runner.run(work())


@then("it is answered by that node")
def answered_by_it(context: Any) -> None:
    assert isinstance(context.result, Response), context.result
    assert context.nodes.requested == ["a"], context.nodes.requested


@then("it is answered by that node after {least:g} to {most:g} s")
def answered_after(context: Any, least: float, most: float) -> None:
    answered_by_it(context)
    assert least <= context.elapsed_s <= most, context.elapsed_s


@then("it was refused within {seconds:g} s as {code}")
def refused_within(context: Any, seconds: float, code: str) -> None:
    assert getattr(context.result, "code", None) == code, context.result
    assert context.result.retry_after_ms, context.result
    assert context.elapsed_s < seconds, context.elapsed_s


def start_port(context: Any) -> None:
    """Start a callers' port of a node without settings in force."""
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
    context.startup_grace = StartupGrace(clock, context.freeze)
    context.ingress = Ingress(
        "n",
        context.view,
        SimpleNamespace(dispatch=respond_at_once),
        clock,
        Metrics(),
        Tracer("n", clock, random.Random(1)),
        startup_grace=context.startup_grace,
    )
    context.runner.run(context.ingress.start("127.0.0.1", 0))
    context.cleanup.callback(lambda: context.runner.run(context.ingress.close()))


@given("a callers' port in its grace period without settings")
def given_port(context: Any) -> None:
    start_port(context)
    context.startup_grace.begin()


@given("a callers' port that has long been up, and was frozen for {seconds:g} s")
def given_frozen_port(context: Any, seconds: float) -> None:
    start_port(context)
    context.freeze.last_checked_at -= seconds


@when("a caller sends a request there, and {seconds:g} s later the settings arrive")
def asks_before_settings(context: Any, seconds: float) -> None:
    port = context.ingress.runner.addresses[0][1]

    async def ask() -> int:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{port}/tiles/7") as response,
        ):
            return response.status

    async def work() -> int:
        task = asyncio.create_task(ask())
        await asyncio.sleep(seconds)
        context.view.is_current = True
        context.startup_grace.notify()
        async with asyncio.timeout(TIMEOUT_S):
            return await task

    context.status = context.runner.run(work())


@then("the caller gets {status:d}")
def caller_gets(context: Any, status: int) -> None:
    assert context.status == status, context.status
