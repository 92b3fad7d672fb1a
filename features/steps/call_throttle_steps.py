"""Steps on runs that call another service, without a network."""

import heapq
import random
from typing import Any

import attrs
from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.policy.admission._call_throttle import CallThrottle
from marjoramtide.policy.quota import DemandRate

use_step_matcher("parse")

RUN_S = 0.3
CALLS = 2


@attrs.define(slots=True, eq=False)
class Caller:
    """Runs that call a service of some calls a second, which refuses the rest by chance."""

    calls_per_s: float
    asked_of_it: DemandRate = attrs.Factory(DemandRate)
    throttle: CallThrottle = attrs.Factory(CallThrottle)
    rng: random.Random = attrs.Factory(lambda: random.Random(5))
    now: float = 0.0
    asked: list[tuple[float, bool]] = attrs.Factory(list)
    ended: list[tuple[float, bool]] = attrs.Factory(list)
    running: list[tuple[float, bool]] = attrs.Factory(list)

    def play(self, per_s: float, seconds: float) -> None:
        until = self.now + seconds
        while (next_at := self.now + self.rng.expovariate(per_s)) < until:
            self.now = next_at
            self.end_runs()
            begins = self.throttle.admits(self.now)
            self.asked.append((self.now, begins))
            if begins:
                served = [self.call() for _ in range(CALLS)]
                heapq.heappush(self.running, (self.now + RUN_S, all(served)))
        self.now = until
        self.end_runs()

    def call(self) -> bool:
        self.asked_of_it.note(1, self.now)
        rate = self.asked_of_it.rate(self.now)
        return self.rng.random() < self.calls_per_s / rate

    def end_runs(self) -> None:
        while self.running and self.running[0][0] <= self.now:
            at, good = heapq.heappop(self.running)
            self.throttle.ended(not good, at)
            self.ended.append((at, good))


@given("a service that serves {per_s:d} calls a second")
def given_service(context: Any, per_s: int) -> None:
    context.caller = Caller(per_s)


@when("runs are asked for {per_s:d} times a second for {seconds:d} s")
def when_asked(context: Any, per_s: int, seconds: int) -> None:
    context.caller.play(per_s, seconds)


@when("one call is refused for another reason")
def when_one(context: Any) -> None:
    context.caller.throttle.ended(True, context.caller.now)


@step("it serves {per_s:d} calls a second from then on, for {seconds:d} s")
def serves_more(context: Any, per_s: int, seconds: int) -> None:
    context.caller.calls_per_s = per_s
    context.caller.play(40, seconds)


@then("at least {good:d} runs a second succeed")
def then_succeed(context: Any, good: int) -> None:
    count = sum(each for at, each in context.caller.ended if at > 5)
    assert count >= good * (context.caller.now - 5), count


@step("at most {share:d} in 100 of those that began lacked a call")
def lacked(context: Any, share: int) -> None:
    late = [good for at, good in context.caller.ended if at > 5]
    assert (len(late) - sum(late)) * 100 <= share * len(late), (sum(late), len(late))


@then("every run began")
def then_all(context: Any) -> None:
    assert all(begins for _, begins in context.caller.asked)


@then("every run of the last {seconds:d} s began")
def then_last(context: Any, seconds: int) -> None:
    caller = context.caller
    assert all(begins for at, begins in caller.asked if at > caller.now - seconds)
