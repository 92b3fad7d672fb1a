"""Steps on retry and hedge budgets, without processes."""

import itertools
import random
from typing import Any

import attrs
from behave import given, then, when  # type: ignore[attr-defined]

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, Request, UnknownOutcomeError, inline_body
from marjoramtide.ingress._attempts import Attempts
from marjoramtide.ingress._class_budgets import make_class_budgets
from marjoramtide.ingress._service_state import make_service_state
from marjoramtide.membership import Member
from marjoramtide.settings import RouteSettings

NOW = 1000.0
MAX_WITHDRAWALS = 1000


@given("the budgets of a service whose routine retries are used up")
def given_used_up(context: Any) -> None:
    own = Member("n", "s", "r", "d", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    context.state = make_service_state(RouteSettings(service="s"), own, random.Random(1))
    for budgets in context.state.budgets.values():
        budgets.rejections.deposit(NOW)
        budgets.rejections.deposit(NOW + 1)
    routine = context.state.budgets[False].rejections
    assert any(not routine.withdraw(NOW + 1) for _ in range(MAX_WITHDRAWALS))


def make_attempts(context: Any, urgent: bool) -> Attempts:
    request = Request("s", "GET", "/", (), urgent, True, NOW + 10)
    return Attempts(request, inline_body(), RouteSettings(), context.state, count=1)


def may_retry(context: Any, urgent: bool) -> bool:
    attempts = make_attempts(context, urgent)
    refused = NotRunError(ErrorCode.CONNECT_FAILED, "refused", step="test")
    return attempts.may_retry(refused, NOW + 1)


@then("an urgent request that certainly did not run may be retried")
def then_urgent(context: Any) -> None:
    assert may_retry(context, urgent=True)


@then("a routine request that certainly did not run may not be retried")
def then_routine(context: Any) -> None:
    assert not may_retry(context, urgent=False)


@when("{count:d} requests are rejected with a Retry-After of {delay_ms:d} ms")
def when_refused(context: Any, count: int, delay_ms: int) -> None:
    context.delays = []
    for _ in range(count):
        attempts = make_attempts(context, urgent=False)
        attempts.record_failure(
            NotRunError(ErrorCode.OVERLOADED, "full", step="test", retry_after_ms=delay_ms)
        )
        context.delays.append(attempts.final_error(NOW).retry_after_ms)


@then("at least {count:d} different delays are returned, from {least:d} to {most:d} ms")
def then_spread(context: Any, count: int, least: int, most: int) -> None:
    assert len(set(context.delays)) >= count, context.delays
    assert least <= min(context.delays) and max(context.delays) <= most, context.delays


@given(
    "{nodes:d} nodes that share {ratio:g} second tries for each request "
    "and {per_s:d} a second besides"
)
def given_sharing(context: Any, nodes: int, ratio: float, per_s: int) -> None:
    settings = RouteSettings(
        service="s", second_try_ratio=ratio, second_tries_per_s=per_s, hedge_budget=0.05
    )
    context.ratio, context.per_s = ratio, per_s
    context.settings = settings
    context.nodes = [make_class_budgets(settings, NOW) for _ in range(nodes)]
    for budgets in context.nodes:
        budgets.share_among(nodes, settings)


@when("one request comes to each of them {start:d} s after its start, and fails {later:d} s later")
def when_one_fails(context: Any, start: int, later: int) -> None:
    for budgets in context.nodes:
        budgets.retries.deposit(NOW + start)
    context.now = NOW + start + later


@then("each of them may retry it once")
def then_may_retry_once(context: Any) -> None:
    granted = [
        sum(budgets.retries.withdraw(context.now) for _ in range(MAX_WITHDRAWALS))
        for budgets in context.nodes
    ]
    assert granted == [1] * len(context.nodes), granted


@when("each of them uses up its retries after {seconds:d} s, and another setting changes")
def when_setting_changes(context: Any, seconds: int) -> None:
    context.now = NOW + seconds
    own = Member("n", "s", "r", "d", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    changed = attrs.evolve(context.settings, timeout_ms=context.settings.timeout_ms + 1)
    rng = random.Random(1)
    before = [make_service_state(context.settings, own, rng, since=NOW) for _ in context.nodes]
    context.states = [
        make_service_state(changed, own, rng, previous=state, since=NOW) for state in before
    ]
    for state in itertools.chain(before, context.states):
        for budgets in state.budgets.values():
            budgets.share_among(len(context.nodes), state.settings)
    for state in before:
        for budgets in state.budgets.values():
            while budgets.retries.withdraw(context.now):
                pass


@then("none of them may retry")
def then_none_may_retry(context: Any) -> None:
    budgets = [each for state in context.states for each in state.budgets.values()]
    assert not any(each.retries.withdraw(context.now) for each in budgets)


@when(
    "{rate:d} requests a second come to them for {calm:d} s, "
    "and all fail from then on for {bad:d} s"
)
def when_all_fail(context: Any, rate: int, calm: int, bad: int) -> None:
    rng = random.Random(4)
    context.rate, context.sent_at = rate, []
    for number in range(rate * (calm + bad)):
        now = NOW + number / rate
        budgets = rng.choice(context.nodes)
        for budget in (budgets.retries, budgets.hedges):
            budget.deposit(now)
            if now >= NOW + calm and budget.withdraw(now):
                context.sent_at.append(now)


@then("in no {seconds:d} s more than {share:d} in 100 of what all may send is sent")
def then_bounded(context: Any, seconds: int, share: int) -> None:
    allowed = seconds * (context.ratio * context.rate + context.per_s)
    assert 0 < len(context.sent_at) <= allowed * share / 100, (len(context.sent_at), allowed)


@given("a lookup with time left, whose service has retries left")
def given_lookup(context: Any) -> None:
    own = Member("n", "s", "r", "d", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    context.state = make_service_state(RouteSettings(service="s"), own, random.Random(1))
    context.attempts = make_attempts(context, urgent=False)


@when("its first attempt fails as {outcome} with the code {code}")
def when_fails(context: Any, outcome: str, code: str) -> None:
    cls = UnknownOutcomeError if outcome == "unknown" else NotRunError
    context.error = cls(ErrorCode(code), "failed", step="test")
    context.attempts.record_failure(context.error)


@then("it {verdict} retried")
def then_retried(context: Any, verdict: str) -> None:
    assert context.attempts.may_retry(context.error, NOW) == (verdict == "is")
