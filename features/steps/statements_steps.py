"""Steps for the statements of one backend server process."""

from typing import Any

from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.exchange import ServerStatement
from marjoramtide.policy import StatementTracker

use_step_matcher("parse")

NONE = "none"


def rate(text: str) -> float | None:
    return None if text == NONE else float(text)


@given('a server process "{instance}"')
@given('a server process ""')
def given_process(context: Any, instance: str = "") -> None:
    context.tracker = StatementTracker(instance)
    context.now = 0.0


@step("the response to a request sent at {sent:g} arrives at {arrived:g} and states {stated}")
def response_arrives(context: Any, sent: float, arrived: float, stated: str) -> None:
    context.tracker.record_response(ServerStatement("", rate(stated)), sent, arrived)


@when("responses state {first} and {second} in turn, one each {step_s:g} s for {seconds:d} s")
def responses_arrive(context: Any, first: str, second: str, step_s: float, seconds: int) -> None:
    context.limits = []
    for number in range(round(seconds / step_s)):
        at = 1.0 + number * step_s
        stated = rate(second if number % 2 else first)
        context.tracker.record_response(ServerStatement("", stated), at - step_s / 2, at)
        context.limits.append(context.tracker.rate_per_s)


@step("its health check, sent at {sent:g}, states {stated}")
def health_states(context: Any, sent: float, stated: str) -> None:
    context.tracker.record_health(ServerStatement("", rate(stated)), sent, sent + 0.01)


@when("its health check, sent at {sent:g}, states that it is leaving")
def health_leaves(context: Any, sent: float) -> None:
    context.tracker.record_health(ServerStatement("", None, True), sent, sent + 0.01)


@when("nothing was stated")
def nothing(context: Any) -> None:
    assert context.tracker.statement is None


@when('another node reports of "{instance}" that it states {stated} and is leaving')
def reported(context: Any, instance: str, stated: str) -> None:
    context.tracker.record_peer_report(ServerStatement(instance, rate(stated), True), 3.0)


@then("its limit is {stated} all the while")
def limit_stays(context: Any, stated: str) -> None:
    assert set(context.limits) == {rate(stated)}, context.limits


@then("its limit is {stated}")
def limit_is(context: Any, stated: str) -> None:
    assert context.tracker.rate_per_s == rate(stated), context.tracker.rate_per_s


@then("it is leaving")
def leaving(context: Any) -> None:
    assert context.tracker.leaving


@then("it is not leaving")
def not_leaving(context: Any) -> None:
    assert not context.tracker.leaving
