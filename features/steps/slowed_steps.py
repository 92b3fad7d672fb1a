"""Steps that dispatch requests to nodes whose backend servers are currently slow."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.clock import SystemClock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import (
    LoadReport,
    NotRunError,
    Request,
    RequestBody,
    Response,
    inline_body,
)
from marjoramtide.ingress import Dispatcher
from marjoramtide.membership import Member, MemberState
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics, Tracer

use_step_matcher("parse")

SETTINGS = RouteSettings(service="mapdesk", selector="forecast", max_asks=4, retry_budget=2.0)
SLOWED = LoadReport(
    in_use=0,
    limit=8,
    service_time_ms=100.0,
    slowdown=4.0,
    holds_ms=200.0,
    period_ms=300.0,
    usual_slowdown=1.75,
)


@attrs.define(eq=False)
class SlowedNodes:
    """Fake peers; those in ``slowed`` reject first attempts, as a serving node does."""

    slowed: set[str]
    requested: list[str] = attrs.Factory(list)

    async def request(self, address: str, request: Request, body: RequestBody) -> Response:
        self.requested.append(address)
        await asyncio.sleep(0)
        if address in self.slowed and request.attempt == 1:
            raise NotRunError(ErrorCode.SLOWED, "slowed", step="test", report=SLOWED)
        return Response(200, (), report=SLOWED if address in self.slowed else None)


def start_dispatcher(context: Any, names: list[str], slowed: set[str]) -> None:
    members = [
        Member(name, "mapdesk", "r", "d", name, name, name, MemberState.READY) for name in names
    ]
    own = Member("own", "licencehub", "r", "d", "own", "own", "own", MemberState.READY)
    by_name = {member.node: member for member in members}
    directory = SimpleNamespace(
        self_member=own,
        members=lambda: [own, *members],
        members_of=lambda service: members,
        find=by_name.get,
        report_failure=lambda node: None,
    )
    view = SimpleNamespace(on_change=lambda listener: None, route=lambda service, path: SETTINGS)
    clock, rng = SystemClock(), random.Random(1)
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.nodes = SlowedNodes(slowed)
    context.dispatcher = Dispatcher(
        directory, view, None, context.nodes, clock, rng, Metrics(), Tracer("own", clock, rng)
    )


@given("a dispatcher whose only node refuses first tries as slowed")
def given_only_slowed(context: Any) -> None:
    start_dispatcher(context, ["a"], {"a"})


@given("a dispatcher of which one node refuses first tries as slowed and one answers")
def given_one_slowed(context: Any) -> None:
    start_dispatcher(context, ["a", "b"], {"a"})


@when("a request comes to it")
def when_request(context: Any) -> None:
    now = SystemClock().monotonic()
    request = Request("mapdesk", "POST", "/", (), False, False, now + 5, goal=now + 0.3)

    async def dispatch() -> Response:
        return await context.dispatcher.dispatch(request, inline_body(), SETTINGS)

    context.response = context.runner.run(dispatch())


@then("it is answered by a second try at that node")
def answered_second(context: Any) -> None:
    assert context.response.status == 200
    assert context.nodes.requested == ["a", "a"], context.nodes.requested


@then("it is answered by the other node, and the slowed one is asked once at most")
def answered_by_other(context: Any) -> None:
    assert context.response.status == 200
    assert context.nodes.requested[-1] == "b", context.nodes.requested
    assert context.nodes.requested.count("a") <= 1, context.nodes.requested


@when("the slowed node tells of its pace before any request")
def reports_early(context: Any) -> None:
    context.dispatcher.record_load_report(context.dispatcher.directory.find("a"), SLOWED)


@then("what is believed of it holds the slowdown")
def estimate_has_slowdown(context: Any) -> None:
    state = context.dispatcher.service_state("mapdesk")
    estimate = state.selector.node_snapshot("a", SystemClock().monotonic())
    assert estimate.get("slowdown") == SLOWED.slowdown, estimate
