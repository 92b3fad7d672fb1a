"""Steps for runs that call another service, without a network."""

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
    """Runs that call a service, which refuses calls above its capacity at random."""

    capacity_per_s: float
    call_rate: DemandRate = attrs.Factory(DemandRate)
    throttle: CallThrottle = attrs.Factory(CallThrottle)
    rng: random.Random = attrs.Factory(lambda: random.Random(5))
    now: float = 0.0
    offered: list[tuple[float, bool]] = attrs.Factory(list)
    ended: list[tuple[float, bool]] = attrs.Factory(list)
    running: list[tuple[float, bool]] = attrs.Factory(list)

    def run(self, per_s: float, seconds: float) -> None:
        until = self.now + seconds
        while (next_at := self.now + self.rng.expovariate(per_s)) < until:
            self.now = next_at
            self.end_runs()
            is_admitted = self.throttle.admit(self.now)
            self.offered.append((self.now, is_admitted))
            if is_admitted:
                served = [self.call() for _ in range(CALLS)]
                heapq.heappush(self.running, (self.now + RUN_S, all(served)))
        self.now = until
        self.end_runs()

    def call(self) -> bool:
        self.call_rate.note(1, self.now)
        rate = self.call_rate.rate(self.now)
        return self.rng.random() < self.capacity_per_s / rate

    def end_runs(self) -> None:
        while self.running and self.running[0][0] <= self.now:
            at, succeeded = heapq.heappop(self.running)
            self.throttle.record_end(not succeeded, at)
            self.ended.append((at, succeeded))


@given("a service that serves {per_s:d} calls a second")
def given_service(context: Any, per_s: int) -> None:
    context.caller = Caller(per_s)


@when("runs are requested {per_s:d} times a second for {seconds:d} s")
def when_asked(context: Any, per_s: int, seconds: int) -> None:
    context.caller.run(per_s, seconds)


@when("one call is refused for another reason")
def when_one(context: Any) -> None:
    context.caller.throttle.record_end(True, context.caller.now)


@step("its capacity is {per_s:d} calls a second from then on, for {seconds:d} s")
def when_capacity_rises(context: Any, per_s: int, seconds: int) -> None:
    context.caller.capacity_per_s = per_s
    context.caller.run(40, seconds)


@then("at least {good:d} runs a second succeed")
def then_succeed(context: Any, good: int) -> None:
    count = sum(succeeded for at, succeeded in context.caller.ended if at > 5)
    assert count >= good * (context.caller.now - 5), count


@step("at most {share:d} in 100 of those that started had a call refused")
def then_few_refused(context: Any, share: int) -> None:
    results = [succeeded for at, succeeded in context.caller.ended if at > 5]
    assert (len(results) - sum(results)) * 100 <= share * len(results), (
        sum(results),
        len(results),
    )


@then("every run started")
def then_all(context: Any) -> None:
    assert all(is_admitted for _, is_admitted in context.caller.offered)


@then("every run of the last {seconds:d} s started")
def then_last(context: Any, seconds: int) -> None:
    caller = context.caller
    assert all(is_admitted for at, is_admitted in caller.offered if at > caller.now - seconds)
