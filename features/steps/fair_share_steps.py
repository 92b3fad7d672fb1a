"""Steps for one server's admission and callers of many workspaces, without a network."""

import heapq
import itertools
import math
import random
from typing import Any

import attrs
from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.policy import Admission, CallProfile, Verdict, make_admission
from marjoramtide.policy.admission._workspace_shares import MAX_WORKSPACES, WorkspaceShares
from marjoramtide.settings import RouteSettings

use_step_matcher("parse")

SLOTS = 10
WORK_S = 0.2
GOAL_S = 0.6
DEADLINE_S = 2.0
SECONDS = 30.0
# The first seconds, in which the admission learns how long requests take, aren't counted.
WARM_UP_S = 5.0
SMALL = {f"small-{number}": 2.0 for number in range(20)}
LARGE_PER_S = 8.0
CAPACITY_PER_S = SLOTS / WORK_S


@attrs.define(slots=True, eq=False)
class Tally:
    """How many requests of each workspace arrived, and were answered in time."""

    arrived: dict[str, int] = attrs.Factory(dict)
    in_time: dict[str, int] = attrs.Factory(dict)

    def share(self, *names: str) -> float:
        return self.total(self.in_time, names) / self.total(self.arrived, names)

    def total(self, counts: dict[str, int], names: tuple[str, ...]) -> int:
        return sum(counts.get(name, 0) for name in names)


@attrs.define(slots=True, eq=False)
class OverloadedServer:
    """An admission whose executions take ``WORK_S``, in virtual time."""

    rng: random.Random
    tally: Tally = attrs.Factory(Tally)
    admission: Admission = attrs.field(init=False)
    events: list[tuple[float, int, str | None, int]] = attrs.Factory(list)
    numbers: "itertools.count[int]" = attrs.Factory(itertools.count)
    waiting: dict[int, tuple[str, float]] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        settings = RouteSettings(slots=SLOTS, limiter="fixed", urgent_slots=0, queue_limit=40)
        self.admission = make_admission(settings, -100.0)
        self.admission.reconfigure(settings)

    def add_callers(
        self,
        workspace: str,
        per_s: float,
        rank: int = 1,
        from_s: float = 0.0,
        until_s: float = SECONDS,
    ) -> None:
        at = from_s + self.rng.expovariate(per_s)
        while at < until_s:
            heapq.heappush(self.events, (at, next(self.numbers), workspace, rank))
            at += self.rng.expovariate(per_s)

    def run(self, until_s: float = math.inf) -> Tally:
        while self.events and self.events[0][0] <= until_s:
            at, number, workspace, rank = heapq.heappop(self.events)
            self.expire(at)
            if workspace is not None:
                self.offer(at, number, workspace, rank)
            else:
                self.start(self.admission.finished(rank, at, WORK_S * 1000, True), at)
        return self.tally

    def offer(self, at: float, number: int, workspace: str, rank: int) -> None:
        if at > WARM_UP_S:
            self.tally.arrived[workspace] = self.tally.arrived.get(workspace, 0) + 1
        self.waiting[number] = (workspace, at)
        profile = CallProfile(
            False, True, at + DEADLINE_S, 2, "k", at + GOAL_S, rank, workspace=workspace
        )
        verdict = self.admission.offer(number, profile, at).verdict
        if verdict is Verdict.START:
            self.start([number], at)
        elif verdict is Verdict.REJECT:
            del self.waiting[number]

    def start(self, tickets: list[int], at: float) -> None:
        for ticket in tickets:
            workspace, arrived_at = self.waiting.pop(ticket)
            ends_at = at + WORK_S
            if arrived_at > WARM_UP_S and ends_at <= arrived_at + GOAL_S:
                self.tally.in_time[workspace] = self.tally.in_time.get(workspace, 0) + 1
            heapq.heappush(self.events, (ends_at, next(self.numbers), None, ticket))

    def expire(self, at: float) -> None:
        due = self.admission.next_expiry()
        while due is not None and due <= at:
            for ticket in self.admission.expire(due):
                self.waiting.pop(ticket)
            later = self.admission.next_expiry()
            due = later if later != due else None


def simulate(rates: dict[str, float], ranks: dict[str, int] | None = None) -> Tally:
    server = OverloadedServer(random.Random(7))
    for workspace, per_s in rates.items():
        server.add_callers(workspace, per_s, (ranks or {}).get(workspace, 1))
    return server.run()


@when("the large workspace sends {times:d} times its usual load")
def when_large(context: Any, times: int) -> None:
    context.usual = simulate(SMALL | {"large": LARGE_PER_S})
    context.tally = simulate(SMALL | {"large": LARGE_PER_S * times})


@then("the small ones get no more than 5 in 100 fewer answers in time than at its usual load")
def then_small(context: Any) -> None:
    before, now = context.usual.share(*SMALL), context.tally.share(*SMALL)
    assert now >= before - 0.05, (before, now)


@step("the large one gets at least {least:d} in 100 of the remaining capacity")
def large_gets(context: Any, least: int) -> None:
    remaining = (CAPACITY_PER_S - sum(SMALL.values())) * (SECONDS - WARM_UP_S)
    got = context.tally.in_time.get("large", 0)
    assert got * 100 >= least * remaining, (got, remaining)


@when("only the large workspace sends, {times:d} times its usual load")
def when_only_large(context: Any, times: int) -> None:
    context.tally = simulate({"large": LARGE_PER_S * times})


@then("it gets at least {least:d} in 100 of the server's capacity")
def then_gets(context: Any, least: int) -> None:
    got = context.tally.in_time["large"] / (SECONDS - WARM_UP_S)
    assert got * 100 >= least * CAPACITY_PER_S, got


@when("a workspace sends 1 request a second beside one with 300")
def when_hundreds(context: Any) -> None:
    context.tally = simulate({"small": 1.0, "large": 300.0})


@then("the small one gets at least {least:d} in 100 answers in time")
def then_small_in_time(context: Any, least: int) -> None:
    assert context.tally.share("small") * 100 >= least, context.tally


@when("the large workspace sends {times:d} times its usual load, beside urgent requests")
def when_ranked(context: Any, times: int) -> None:
    rates = SMALL | {"large": LARGE_PER_S * times, "first": 10.0}
    context.tally = simulate(rates, {"first": 0})


@then("at least {least:d} in 100 of those are in time")
def then_urgent_in_time(context: Any, least: int) -> None:
    assert context.tally.share("first") * 100 >= least, context.tally


@when("{count:d} workspaces send one request each")
def when_thousands(context: Any, count: int) -> None:
    context.shares = WorkspaceShares()
    for number in range(count):
        context.shares.record_request(f"w{number}", 100.0, number / 1000)


@then("at most {most:d} of them are tracked")
def then_bounded(context: Any, most: int) -> None:
    assert len(context.shares.work) <= most == MAX_WORKSPACES


@given("one server with 10 slots and work of 200 ms")
def given_server(context: Any) -> None:
    context.server = OverloadedServer(random.Random(3))


@when("it has had a load of {load:d} in 100 of its capacity for 10 s, and all its slots are in use")
def when_asked(context: Any, load: int) -> None:
    server = context.server
    server.add_callers("", load / 100 * CAPACITY_PER_S, until_s=10.0)
    server.add_callers("", 1000.0, from_s=10.0, until_s=10.03)
    server.run(until_s=10.03)


@then("a request whose goal has passed, with 1.5 s left, is {decision}")
def then_late(context: Any, decision: str) -> None:
    now = 10.03
    profile = CallProfile(False, True, now + 1.5, 2, "k", now - 0.01, 1)
    verdict = context.server.admission.offer(1 << 40, profile, now).verdict
    assert verdict is {"refused": Verdict.REJECT, "queued": Verdict.QUEUE}[decision], verdict
