"""Steps for the soak of real processes and its verdicts."""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from soak import CallerRecord, ReceivedAnswer, ServerRecord, draw_plan, judge, run_soak

use_step_matcher("parse")

ATTEMPT = "0123456789abcdef"
OK = 200


@given("a {kind} request that ran {runs:d} times and got {status:d}, {own}")
def given_request(context: Any, kind: str, runs: int, status: int, own: str) -> None:
    is_idempotent, is_own = kind == "idempotent", own == "its own"
    answer = ReceivedAnswer(status, is_whole=True, is_own=is_own)
    context.callers = [CallerRecord(ATTEMPT, 0, "booking", is_idempotent, 0.0, 1.0, answer)]
    context.servers = [ServerRecord(0.5, "i-1", "run", ATTEMPT) for _ in range(runs)]
    context.servers.append(ServerRecord(0.6, "i-1", "run", "another"))


@then("the soak finds {promise}")
def finds(context: Any, promise: str) -> None:
    found = [each.promise for each in judge(context.callers, context.servers)]
    assert found == ([] if promise == "nothing" else [promise]), found


@then("the soak plans of seed {seed:d} are the same twice, and those of seed {other:d} are others")
def same_plan(context: Any, seed: int, other: int) -> None:
    assert draw_plan(seed) == draw_plan(seed) != draw_plan(other)


@then('without "{kind}" a plan has all of its other faults')
def plan_without(context: Any, kind: str) -> None:
    for seed in range(20):
        expected = tuple(fault for fault in draw_plan(seed).faults if fault.kind != kind)
        assert draw_plan(seed, without=frozenset((kind,))).faults == expected


@when("the soak of seed {seed:d} is run")
def run_seed(context: Any, seed: int) -> None:
    folder = context.cleanup.enter_context(TemporaryDirectory())
    context.soak = asyncio.run(run_soak(draw_plan(seed), Path(folder)))


@then("it has kept every promise, and served {count:d} requests")
def kept_promises(context: Any, count: int) -> None:
    result = context.soak
    lines = [line for each in result.violations for line in each.lines(result.started_at)]
    assert not lines, "\n".join(lines)
    assert result.statuses[OK] >= count, result.line()
