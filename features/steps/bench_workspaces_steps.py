"""Steps for the evaluation of tests with callers that send keys."""

from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.quota._tally import admitted_by_single_bucket
from bench.workspaces import draw_plan
from bench.workspaces._plan import Quota
from bench.workspaces._tally import worst_excess

use_step_matcher("parse")


@given("a workspace with a quota of {rate:g} a second and a burst of {burst:g}")
def given_quota(context: Any, rate: float, burst: float) -> None:
    context.quota = Quota(rate, burst)


@when("{count:d} of its requests run, one each {gap:g} s, {later:g} s after they were sent")
def when_run(context: Any, count: int, gap: float, later: float) -> None:
    context.runs = [(number * gap, number * gap + later) for number in range(count)]


@then("the worst window holds {excess:g} more than allowed")
def then_excess(context: Any, excess: float) -> None:
    found = worst_excess(context.runs, context.quota, 0.0)
    assert abs(found - excess) < 1e-9, found


@when("{count:d} of its requests arrive, one each {gap:g} s")
def when_come(context: Any, count: int, gap: float) -> None:
    context.came = [number * gap for number in range(count)]


@then("a single bucket admits {admitted:d} of them")
def then_admits(context: Any, admitted: int) -> None:
    quota = context.quota
    found = admitted_by_single_bucket(context.came, quota.per_s, quota.burst, 0.0)
    assert found == admitted, found


@then("the plans of callers with keys of seed 7 are the same twice, and those of seed 8 are others")
def then_plans(context: Any) -> None:
    assert draw_plan(7) == draw_plan(7)
    assert draw_plan(7) != draw_plan(8)
