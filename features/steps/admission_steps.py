"""Steps for admission control at the serving node."""

from typing import Any

from behave import given, then, when

from features.policy_fakes import START, Serving
from marjoramtide.policy import Verdict, make_admission
from marjoramtide.settings import RouteSettings


@given("an admission with {slots:d} slots, {urgent:d} of them urgent, and executions of {ms:d} ms")
def step_admission(context: Any, slots: int, urgent: int, ms: int) -> None:
    settings = RouteSettings(slots=slots, urgent_slots=urgent, queue_limit=40, min_limit=1)
    context.serving = Serving(make_admission(settings, START))
    for _ in range(50):
        context.serving.run_one("routine", float(ms))


@when("{count:d} {kind} requests due in {ms:d} ms arrive")
def step_arrive(context: Any, count: int, kind: str, ms: int) -> None:
    for _ in range(count):
        context.serving.offer(kind, ms)


@when("the clock of the admission moves on by {ms:d} ms")
def step_advance_clock(context: Any, ms: int) -> None:
    context.serving.now += ms / 1000


@when("the server drains")
def step_drains(context: Any) -> None:
    context.serving.admission.set_accepting(False)


@then("a {kind} request due in {ms:d} ms is {verdict}")
@then("an {kind} request due in {ms:d} ms is {verdict}")
def step_verdict(context: Any, kind: str, ms: int, verdict: str) -> None:
    decision = context.serving.offer(kind, ms)
    admitted = {"started": Verdict.START, "queued": Verdict.QUEUE}
    assert decision.verdict is admitted.get(verdict, Verdict.REJECT), decision
    if verdict not in admitted:
        assert decision.reason == verdict, decision
        assert decision.retry_after_ms >= 1, decision


@then("{run:d} run and {wait:d} wait")
def step_run_and_wait(context: Any, run: int, wait: int) -> None:
    report = context.serving.report()
    assert (report.in_use, report.queued_routine) == (run, wait), report


@then("those due in {due} ms start next")
def step_start_next(context: Any, due: str) -> None:
    serving = context.serving
    expected = [int(ms) for ms in due.split(", ")]
    started = [ticket for _ in expected for ticket in serving.finish_oldest(20.0)]
    assert [serving.offered[ticket][1] for ticket in started] == expected, started


@then("the {kind} requests due in {ms:d} ms are dropped and no others")
def step_dropped(context: Any, kind: str, ms: int) -> None:
    serving = context.serving
    expected = [ticket for ticket in serving.queued if serving.offered[ticket] == (kind, ms)]
    assert expected
    assert serving.admission.next_expiry() <= serving.now
    assert sorted(serving.admission.expire(serving.now)) == sorted(expected)
    assert serving.admission.next_expiry() > serving.now


@when("urgent requests take 19 of 20 starts for {count:d} starts")
def step_surge(context: Any, count: int) -> None:
    for number in range(count):
        context.serving.run_one("urgent" if number % 20 else "routine", 20.0)


@when("{count:d} executions take {ms:d} ms however many run")
def step_constant_time(context: Any, count: int, ms: int) -> None:
    context.serving.saturate(lambda running: float(ms), count)


@when("{count:d} executions take {ms:d} ms times the number that run")
def step_time_by_concurrency(context: Any, count: int, ms: int) -> None:
    context.serving.saturate(lambda running: float(ms * running), count)


@then("the limit is between {low:d} and {high:d} and the last execution took less than {ms:d} ms")
def step_limit(context: Any, low: int, high: int, ms: int) -> None:
    assert low <= context.serving.report().limit <= high, context.serving.report()
    assert context.serving.took < ms, context.serving.took


@when("{count:d} requests are given up after {ms:d} ms each")
def step_given_up(context: Any, count: int, ms: int) -> None:
    serving = context.serving
    for _ in range(count):
        serving.offer("routine", 1000)
        serving.now += ms / 1000
        serving.admission.withdraw(serving.running.pop(), serving.now)


@when("{count:d} requests fail after {ms:d} ms each")
def step_fail(context: Any, count: int, ms: int) -> None:
    for _ in range(count):
        context.serving.run_one("routine", float(ms), succeeded=False)


@then("the reported service time is at least {ms:d} ms and the success rate below {share:g}")
def step_reported(context: Any, ms: int, share: float) -> None:
    report = context.serving.report()
    assert report.service_time_ms >= ms, report
    assert report.success_rate < share, report
