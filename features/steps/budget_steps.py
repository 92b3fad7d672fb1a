"""Steps on budgets of second tries, of looks, and of returning callers."""

import random
from collections import Counter
from typing import Any

from behave import given, then, when

from features.policy_fakes import START
from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import HealthCheckBudget, RetryAfterHint, RetryBudget, make_selector
from marjoramtide.settings import RouteSettings


@given("a retry budget with a share of {share:g} after an hour of 100 requests a second")
def step_retry_budget(context: Any, share: float) -> None:
    context.budget = RetryBudget(share)
    for tick in range(360_000):
        context.budget.deposit(START + tick / 100)
    context.now = START + 3600


@when("each of 100 requests a second wants 2 retries for {seconds:d} s")
def step_storm(context: Any, seconds: int) -> None:
    context.requests = seconds * 100
    context.granted = 0
    for _ in range(context.requests):
        context.now += 0.01
        context.budget.deposit(context.now)
        context.granted += sum(context.budget.withdraw(context.now) for _ in range(2))


@then("at most {percent:g}% as many retries as requests are granted")
def step_granted(context: Any, percent: float) -> None:
    assert 0 < context.granted <= context.requests * percent / 100, context.granted


@then("the first request of a node may be retried, and the next after a minute")
def step_quiet_service(context: Any) -> None:
    budget = RetryBudget(0.1)
    budget.deposit(START)
    assert budget.withdraw(START)
    while budget.withdraw(START):
        pass
    budget.deposit(START + 60)
    assert budget.withdraw(START + 60)


@given("{count:d} callers are refused at the same moment by a service of {rate:d} answers a second")
def step_callers(context: Any, count: int, rate: int) -> None:
    hint = RetryAfterHint(random.Random(1))
    context.returns = [hint.next_ms(20.0, float(rate), START) for _ in range(count)]


@then("no tenth of a second sees more than {most:d} of them return")
def step_spread_returns(context: Any, most: int) -> None:
    busiest = max(Counter(delay // 100 for delay in context.returns).values())
    assert busiest <= most, busiest


@given("{count:d} callers are refused by a node that knows no server and has seen no answer")
def step_lonely_callers(context: Any, count: int) -> None:
    own = Member("own", "t", "r", "a", "p", "g", "o", MemberState.STARTING)
    selector = make_selector(RouteSettings(service="s"), own, random.Random(1))
    context.returns = [selector.retry_after_ms(START + number / 100) for number in range(count)]


@then("all of them are told to return within {seconds:g} s")
def step_return_in_time(context: Any, seconds: float) -> None:
    assert max(context.returns) <= seconds * 1000, max(context.returns)


@given("a measuring budget of 1 read a second and {share:g} of {slots:d} slots")
def step_measuring(context: Any, share: float, slots: int) -> None:
    context.measuring = lambda: HealthCheckBudget(per_s=1.0, share=share, slots=slots)


@then(
    "with {traffic} and reads of {ms:d} ms it reads between {low:d} and {high:d} times "
    "in {seconds:d} s"
)
def step_reads(context: Any, traffic: str, ms: int, low: int, high: int, seconds: int) -> None:
    results, took_ms = {
        "failures": ([False, True], None),
        "traffic": ([True], None),
        "executions of 200 ms": ([True], 200.0),
        "silence": ([], None),
    }[traffic]
    budget = context.measuring()
    reads = 0
    for now in (START + tick / 10 for tick in range(seconds * 10)):
        for succeeded in results:
            budget.record_response(now, succeeded, took_ms)
        if budget.next_read_at(now) <= now:
            budget.record_read(now, float(ms))
            reads += 1
    assert low <= reads <= high, reads


@given("looks of {took:d} ms at a server of {slots:d} slots whose executions take {ms:d} ms")
def step_looks(context: Any, took: int, slots: int, ms: int) -> None:
    def interval_ms(share: float) -> float:
        budget = HealthCheckBudget(per_s=40.0, share=share, slots=slots)
        budget.record_response(START, succeeded=True, took_ms=float(ms))
        budget.record_read(START, float(took))
        return budget.min_interval_s * 1000

    context.interval_ms = interval_ms


@then(
    "with a share of {low:g} there is one every {rare:g} ms, "
    "and with {high:g} one every {often:g} ms"
)
def step_interval(context: Any, low: float, rare: float, high: float, often: float) -> None:
    found = (context.interval_ms(low), context.interval_ms(high))
    assert (round(found[0]), round(found[1])) == (rare, often), found


@then("a failed request brings the next read forward to {seconds:g} s after the last")
def step_read_forward(context: Any, seconds: float) -> None:
    budget = context.measuring()
    budget.record_read(START)
    budget.record_response(START + 0.1, succeeded=True)
    assert budget.next_read_at(START + 0.1) > START + seconds
    budget.record_response(START + 0.2, succeeded=False)
    assert budget.next_read_at(START + 0.2) == START + seconds
