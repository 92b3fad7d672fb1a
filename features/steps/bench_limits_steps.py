"""Steps for the evaluation of tests with announced rate limits."""

from types import SimpleNamespace
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.limits import (
    AnnouncedRate,
    LookupResponse,
    Lookups,
    ReceivedRequest,
    allowed_between,
    draw_plan,
    fullest_window,
)
from bench.limits._limit_plan import SHAPES
from standins.platform._backend import Arrival

use_step_matcher("parse")


@given(
    "a server that announces {rate:g} requests a second at second {at:g}, "
    "and node {node} passes that on at second {notified_at:g}"
)
def given_named(context: Any, rate: float, at: float, node: str, notified_at: float) -> None:
    context.rates = [AnnouncedRate(at, rate)]
    context.notified_at = {node: notified_at}


@when("it gets {count:d} requests of {entry} from second {first:g} on, one each {gap:g} s")
def when_gets(context: Any, count: int, entry: str, first: float, gap: float) -> None:
    context.requests = [ReceivedRequest(first + number * gap, entry) for number in range(count)]


@then("the fullest window holds {held:d} of {allowed:g} allowed, {verdict}")
def then_held(context: Any, held: int, allowed: float, verdict: str) -> None:
    found = fullest_window(context.rates, context.requests, context.notified_at)
    count = 0 if found is None else found.count
    assert count == held, found
    assert found is None or abs(found.allowed - allowed) < 1e-9, found
    assert (found is None or found.is_within) == (verdict == "within"), found


@then(
    "limits of {first:g} from second {at:g} and {second:g} from second {change:g} on "
    "allow {allowed:g} between second {begins:g} and {ends:g}"
)
def then_allow(
    context: Any,
    first: float,
    at: float,
    second: float,
    change: float,
    allowed: float,
    begins: float,
    ends: float,
) -> None:
    rates = [AnnouncedRate(at, first), AnnouncedRate(change, second)]
    assert abs(allowed_between(rates, begins, ends) - allowed) < 1e-9


async def unsent(turn: int, attempt: str) -> LookupResponse:
    raise OSError


@given("a server that leaves, whose announcement node {node} passes on at second {notified_at:g}")
def given_leaving(context: Any, node: str, notified_at: float) -> None:
    context.notified_at = {node: notified_at}
    context.lookups = Lookups(2, unsent)


@when(
    "it gets requests that started at node {one} at second {first:g} and {second:g}, "
    "and at node {other} at second {third:g}"
)
def when_began(
    context: Any, one: str, first: float, second: float, other: str, third: float
) -> None:
    context.lookups.sent = {"1": (one, first), "2": (one, second), "3": (other, third)}
    received = [Arrival(third, attempt) for attempt in context.lookups.sent]
    context.server = SimpleNamespace(received=received)


@then("one of them arrived later than {seconds:d} s after its node was notified")
def then_late(context: Any, seconds: int) -> None:
    late = context.lookups.late_at(context.server, context.notified_at, seconds)
    assert late == ["2"], late


@then("the plans of seed {one:d} are the same twice, and those of seed {other:d} are others")
def then_plans(context: Any, one: int, other: int) -> None:
    for shape in SHAPES:
        assert draw_plan(one, shape) == draw_plan(one, shape)
        assert draw_plan(one, shape) != draw_plan(other, shape)
