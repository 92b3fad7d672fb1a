"""Steps for the soak of real processes and its verdicts."""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from soak import (
    CallerRecord,
    ChangeJudge,
    Evacuation,
    HostPlace,
    ReceivedAnswer,
    RouteMove,
    ServerRecord,
    Timeline,
    draw_plan,
    judge,
    run_soak,
)
from soak._callers import LOOKUP, MOVED

use_step_matcher("parse")

ATTEMPT = "0123456789abcdef"
OK = 200
CHANGED_AT = 100.0
TAKEN_BACK_AT = CHANGED_AT + 20.0
# The hosts of judged changes: the old and the new service, the second in the evacuated data centre.
PLACES = (HostPlace("old", "z0"), HostPlace("new", "z1"))


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


@when("the soak of seed {seed:d} with {added} is run")
def run_seed_with(context: Any, seed: int, added: str) -> None:
    folder = context.cleanup.enter_context(TemporaryDirectory())
    plan = draw_plan(seed, added=frozenset((added,)))
    context.soak = asyncio.run(run_soak(plan, Path(folder)))


@then("the store has acknowledged {count:d} changes")
def acknowledged(context: Any, count: int) -> None:
    assert context.soak.changes == count, context.soak.line()


@given(
    "a soak in which a {change} and {who} is disturbed from 1 s before until {seconds:g} s after"
)
def given_timeline(context: Any, change: str, who: str, seconds: float) -> None:
    context.timeline = timeline = Timeline([RouteMove(0.0, "old")])
    if change.startswith("route"):
        timeline.moves.append(RouteMove(CHANGED_AT, "new"))
    else:
        timeline.evacuations.append(Evacuation("z1", CHANGED_AT, TAKEN_BACK_AT))
    if who != "nobody":
        host = int(who.removeprefix("node ")) if who.startswith("node") else None
        disturbance = timeline.begin(CHANGED_AT - 1, host, is_partial=who.startswith("a part"))
        disturbance.ended_at = CHANGED_AT + seconds


@when("node 0 sends a request {seconds:g} s after, which the {service} service runs")
def when_service_runs(context: Any, seconds: float, service: str) -> None:
    record_run(context, seconds, [place.service for place in PLACES].index(service), MOVED.name)


@when("node 0 sends a request {seconds:g} s after, which a server {where} runs")
def when_server_runs(context: Any, seconds: float, where: str) -> None:
    record_run(context, seconds, int(where == "there"), LOOKUP.name)


def record_run(context: Any, seconds: float, host: int, kind: str) -> None:
    sent_at = CHANGED_AT + seconds
    context.callers = [CallerRecord(ATTEMPT, 0, kind, True, sent_at, sent_at + 1)]
    context.servers = [ServerRecord(sent_at + 0.01, f"i-{host}-1", "run", ATTEMPT)]


@then("the changes of the soak show {verdict}")
def finds_in_changes(context: Any, verdict: str) -> None:
    found = ChangeJudge(context.timeline, PLACES).judge(context.callers, context.servers)
    promises = [each.promise for each in found]
    assert promises == ([] if verdict == "nothing" else [verdict]), promises


@then("it has kept every promise, and served {count:d} requests")
def kept_promises(context: Any, count: int) -> None:
    result = context.soak
    lines = [line for each in result.violations for line in each.lines(result.started_at)]
    assert not lines, "\n".join(lines)
    assert not result.ended, f"ended by themselves: {result.ended}"
    assert result.statuses[OK] >= count, result.line()
