"""Steps for decisions by the slowdown of a server, in virtual time or without any."""

import random
import statistics
from typing import Any

from behave import given, then, when

from bench.model._deployment import Deployment
from bench.model._kind_plan import KindPlan
from bench.model._neighbours import Neighbours
from bench.model._play import simulate_deployment
from bench.model._service_plan import ServicePlan
from features.steps.serving_steps import SilentTransport
from marjoramtide.clock import FreezeDetector, ManualClock
from marjoramtide.policy.pace import Pace
from marjoramtide.policy.pace._duration_history import DurationHistory
from marjoramtide.serving import ServerLoad, ServingService
from marjoramtide.settings import Freshness, Locality, TreeSettingsView
from marjoramtide.telemetry import Metrics, Tracer

NOW = 100.0
SLOTS = 8
SEED = 3


@given("6 servers whose neighbours slow them down 5 times in intervals of {ms:d} ms {grid}")
def given_neighbours(context: Any, ms: int, grid: str) -> None:
    neighbours = Neighbours(1 / 3, 5.0, ms / 1000, grid == "on a grid")
    context.service = ServicePlan("shop", (3, 3), slots=SLOTS, neighbours=neighbours)


@when("requests of {work:d} ms with a goal of {goal:d} ms load them by half for {seconds:d} s")
def when_loaded(context: Any, work: int, goal: int, seconds: int) -> None:
    kind = KindPlan("lookup", {"shop": 1}, work, goal, 3 * goal, rate=1.0)
    rate = 0.5 * 6 * SLOTS / (work / 1000) * (1 - context.service.neighbours.share)
    day = Deployment("pace", 2, (context.service,), (kind,), rate, float(seconds))
    context.day = day


@then("at least {share:g} in 100 are answered within the goal on average of {days:d} days")
def then_in_goal(context: Any, share: float, days: int) -> None:
    shares = [simulate_deployment(context.day, seed, {}).in_goal for seed in range(1, days + 1)]
    assert statistics.fmean(shares) * 100 >= share, shares


@given("a server that was slow {count:d} times for {seconds:g} s")
def given_slow_before(context: Any, count: int, seconds: float) -> None:
    context.durations = DurationHistory()
    for _ in range(count):
        context.durations.add(seconds)


def should_wait(context: Any, work_ms: float, elapsed_s: float) -> bool:
    pace = Pace(5.0, None, 2.0, 1.0, NOW - elapsed_s, slow_durations=context.durations)
    return pace.should_wait(work_ms, NOW)


@then("a request of {work:d} ms waits there when it has been slow for {seconds:g} s")
def then_waits(context: Any, work: int, seconds: float) -> None:
    assert should_wait(context, work, seconds)


@then("a request of {work:d} ms begins at once when it has been slow for {seconds:g} s")
def then_begins(context: Any, work: int, seconds: float) -> None:
    assert not should_wait(context, work, seconds)


@given("{count:d} random slowdowns and requests, without known times of change")
def given_drawn(context: Any, count: int) -> None:
    rng = random.Random(SEED)
    context.drawn = [
        (
            rng.uniform(1.0, 10.0),
            rng.uniform(1.0, 2.5),
            rng.expovariate(1.0),
            [rng.expovariate(1.0) for _ in range(rng.randrange(5))],
            rng.uniform(5.0, 2000.0),
        )
        for _ in range(count)
    ]


@then("the same requests wait when all times are multiplied by {low:g} and by {high:g}")
def then_scaled(context: Any, low: float, high: float) -> None:
    def decisions(times: float) -> list[bool]:
        found = []
        for slowdown, best, elapsed_s, lengths, work_ms in context.drawn:
            context.durations = DurationHistory()
            for length in lengths:
                context.durations.add(length * times)
            pace = Pace(
                slowdown, None, 2.0, best, NOW - elapsed_s * times, slow_durations=context.durations
            )
            found.append(pace.should_wait(work_ms * times, NOW))
        return found

    expected = decisions(1.0)
    assert 50 < sum(expected) < len(expected) - 50, sum(expected)
    assert decisions(low) == expected
    assert decisions(high) == expected


@given("a serving node whose server was undisturbed for {seconds:d} s")
def given_serving(context: Any, seconds: int) -> None:
    clock = context.clock = ManualClock()
    view = TreeSettingsView(Locality(), Freshness(clock, FreezeDetector(clock)))
    tracer = Tracer("node", clock, random.Random(SEED))
    # Nothing is sent, so no claims are needed.
    context.serving = ServingService("s", SilentTransport(), None, view, clock, Metrics(), tracer)
    report_slowdown(context, 1.0, seconds)


@when("another process of the server replaces it and takes {times:d} times as long")
def when_replaced(context: Any, times: int) -> None:
    context.serving.server_replaced()
    report_slowdown(context, float(times), 1)


@then("a request does not wait for a change of its speed")
def then_no_wait(context: Any) -> None:
    pace = context.serving.interference.pace(context.clock.now)
    assert not pace.should_wait(1000.0, context.clock.now), pace


def report_slowdown(context: Any, slowdown: float, seconds: int) -> None:
    """Report the server's slowdown ten times a second."""
    for _ in range(10 * seconds):
        context.clock.now += 0.1
        context.serving.note_load(ServerLoad(0, 0, SLOTS, slowdown))
