"""Steps on what one start of a backend server has said of itself."""

from typing import Any

from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.exchange import ServerStatement
from marjoramtide.policy import StatementTracker

use_step_matcher("parse")

NONE = "none"


def rate(text: str) -> float | None:
    return None if text == NONE else float(text)


@given('a start "{instance}" of a server')
@given('a start "" of a server')
def given_start(context: Any, instance: str = "") -> None:
    context.said = StatementTracker(instance)
    context.now = 0.0


@step("an answer to a request sent at {sent:g} comes at {came:g} and names {named}")
def answer_comes(context: Any, sent: float, came: float, named: str) -> None:
    context.said.record_response(ServerStatement("", rate(named)), sent, came)


@when("answers name {first} and {second} in turn, one each {step_s:g} s for {seconds:d} s")
def answers_come(context: Any, first: str, second: str, step_s: float, seconds: int) -> None:
    context.limits = []
    for number in range(round(seconds / step_s)):
        at = 1.0 + number * step_s
        named = rate(second if number % 2 else first)
        context.said.record_response(ServerStatement("", named), at - step_s / 2, at)
        context.limits.append(context.said.rate_per_s)


@step("its health, asked at {asked:g}, names {named}")
def health_names(context: Any, asked: float, named: str) -> None:
    context.said.record_health(ServerStatement("", rate(named)), asked, asked + 0.01)


@when("its health, asked at {asked:g}, says that it leaves")
def health_leaves(context: Any, asked: float) -> None:
    context.said.record_health(ServerStatement("", None, True), asked, asked + 0.01)


@when("nothing was heard of it")
def nothing(context: Any) -> None:
    assert context.said.statement is None


@when('another node tells of "{instance}" that it names {named} and leaves')
def told(context: Any, instance: str, named: str) -> None:
    context.said.record_peer_report(ServerStatement(instance, rate(named), True), 3.0)


@then("its limit is {named} all the while")
def limit_stays(context: Any, named: str) -> None:
    assert set(context.limits) == {rate(named)}, context.limits


@then("its limit is {named}")
def limit_is(context: Any, named: str) -> None:
    assert context.said.rate_per_s == rate(named), context.said.rate_per_s


@then("it counts as leaving")
def leaving(context: Any) -> None:
    assert context.said.leaving


@then("it doesn't count as leaving")
def not_leaving(context: Any) -> None:
    assert not context.said.leaving
