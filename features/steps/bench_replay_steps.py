"""Steps for the replay's traces and verdicts, without any processes."""

import tempfile
from pathlib import Path
from typing import Any

import attrs
from behave import given, then, when

from bench.load import Attempt, Audit, CallResult, Outcome, PlannedCall
from bench.replay._arrivals import arrivals
from bench.replay._expectation import Expectation, guarantees, load_expectations
from bench.replay._run_result import RunResult
from bench.replay._trace import TRACES, load_trace, trace_names


def recorded(name: str) -> Any:
    return load_trace(TRACES / f"{name}.toml")


def run_result(policy: str, latency_ms: float | None) -> RunResult:
    """Return a run of 20 lookups that took ``latency_ms`` each, or were all refused."""
    outcome = Outcome.NOT_RUN if latency_ms is None else Outcome.COMPLETED
    took_ms = latency_ms or 1.0
    results = [
        CallResult(
            PlannedCall(number * 0.1, f"r{number}", "mapdesk", "lookup", timeout_ms=1000),
            (Attempt(f"r{number}", outcome, took_ms),),
            took_ms,
            0.0,
        )
        for number in range(20)
    ]
    clean_audit = Audit((), (), (), (), executions=20, wasted=0)
    return RunResult(recorded("straggler"), policy, results, clean_audit, [], {}, 1.0, 2.0)


@given('the recorded trace "{name}"')
def step_trace(context: Any, name: str) -> None:
    context.name = name


@then("its calls are the same on each reading")
def step_same(context: Any) -> None:
    assert arrivals(recorded(context.name)) == arrivals(recorded(context.name))


@then("at half the length it has about half of the calls and its fault at half the time")
def step_half(context: Any) -> None:
    trace = recorded(context.name)
    half = trace.scaled(trace.seconds / 2)
    share = len(arrivals(half)) / len(arrivals(trace))
    assert 0.45 < share < 0.55, share
    assert half.events[0].at_s == trace.events[0].at_s / 2


@then("each recorded trace names a site, its origin and at least one outcome")
def step_all(context: Any) -> None:
    assert len(trace_names()) >= 12
    for name in trace_names():
        trace = recorded(name)
        labels = {phase.label for phase in trace.phases}
        assert trace.site.services and trace.origin.strip(), name
        outcomes = load_expectations(name)
        assert outcomes, name
        assert {outcome.label for outcome in outcomes} <= labels | {""}, name


@given('replay runs whose lookups took {own:d} ms under "{a}" and {other:d} ms under "{b}"')
def step_runs(context: Any, own: int, a: str, other: int, b: str) -> None:
    context.runs = {a: run_result(a, own), b: run_result(b, other)}


@given('replay runs whose lookups took {own:d} ms under "{a}" and none completed under "{b}"')
def step_refused(context: Any, own: int, a: str, b: str) -> None:
    context.runs = {a: run_result(a, own), b: run_result(b, None)}


@given('the load tool was {lag:d} ms late under "{policy}", where a booking ran twice')
def step_late(context: Any, lag: int, policy: str) -> None:
    run = context.runs[policy]
    context.runs[policy] = attrs.evolve(
        run,
        results=[attrs.evolve(result, send_lag_ms=lag) for result in run.results],
        audit=attrs.evolve(run.audit, duplicates=("key-1",)),
    )


@then('the replay finds the duplicate under "{policy}"')
def step_duplicate(context: Any, policy: str) -> None:
    missed = [each for each in guarantees(policy) if each.check(context.runs).met is False]
    assert [each.metric for each in missed] == ["duplicates"], missed


@when('the p99 of "{policy}" is held to at most {ratio:g} of "{reference}"')
def step_held(context: Any, policy: str, ratio: float, reference: str) -> None:
    outcome = Expectation(
        "tail", "p99_ms", label="lookup", policy=policy, at_most=ratio, of=reference
    )
    context.verdict = outcome.check(context.runs)


@then('the replay\'s verdict is "{word}"')
def step_verdict(context: Any, word: str) -> None:
    assert str(context.verdict).startswith(word), context.verdict


@when('a recorded trace with the key "{key}" in a phase is read')
def step_bad(context: Any, key: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.path = Path(folder) / "bad.toml"
        text = (TRACES / "straggler.toml").read_text()
        context.path.write_text(text.replace("rate = ", f"{key} = 1\nrate = ", 1))
        try:
            load_trace(context.path)
        except ValueError as error:
            context.error = str(error)


@then('the error of the replay names the file and "{key}"')
def step_named(context: Any, key: str) -> None:
    assert str(context.path) in context.error and key in context.error, context.error
