"""Steps for evacuated data centres, without a network."""

import json
import re
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.evacuation import SpreadPlan, measure_spread
from marjoramtide.checked import MalformedError
from marjoramtide.evacuation._store_bulletin import unpack_store_bulletin
from marjoramtide.policy import EvacuationSnapshot, EvacuationState
from marjoramtide.store._versions import make_version

use_step_matcher("parse")

NOW = 1000.0
SNAPSHOT = re.compile(r"(?P<names>[a-z ]+) at (?P<revision>\d+)( of epoch (?P<epoch>\d+))?")


def apply_event(context: Any, event: str) -> None:
    """Send one snapshot to the node, or let time pass."""
    if event == "nothing":
        return
    if event.endswith("s pass"):
        context.now += float(event.split()[0])
        return
    found = SNAPSHOT.fullmatch(event)
    assert found is not None, event
    names = frozenset() if found["names"] == "none" else frozenset(found["names"].split(" and "))
    version = make_version(int(found["epoch"] or 0), int(found["revision"]))
    context.evacuations.merge(EvacuationSnapshot(version, names), context.now)


@given("a node that has received {events}")
def given_received(context: Any, events: str) -> None:
    context.now = NOW
    context.evacuations = EvacuationState()
    for event in events.split(", "):
        apply_event(context, event)


@then("{names} is evacuated there")
def then_evacuated(context: Any, names: str) -> None:
    wanted = set() if names == "nothing" else {names}
    assert context.evacuations.in_force(context.now) == wanted


@when("it receives the state of a node that has received {events}")
def when_receives_other(context: Any, events: str) -> None:
    own, now = context.evacuations, context.now
    given_received(context, events)
    own.merge(context.evacuations.snapshot(now), now)
    context.evacuations = own


@when("another node receives its state")
def when_other_receives(context: Any) -> None:
    context.other = EvacuationState()
    context.other.merge(context.evacuations.snapshot(context.now), context.now)


@then("{name} is evacuated at the other node for another {seconds:d} s")
def then_for_a_while(context: Any, name: str, seconds: int) -> None:
    assert context.other.in_force(context.now + seconds - 0.1) == {name}
    assert not context.other.in_force(context.now + seconds + 0.1)


@when(
    "a fleet of {size:d} nodes, with {lost:d} in 100 datagrams lost, "
    "is told of one by {watchers:d} of its watchers"
)
def when_fleet_is_told(context: Any, size: int, lost: int, watchers: int) -> None:
    context.plans = [SpreadPlan(size, lost / 100, watchers, seed) for seed in range(1, 6)]


@then("all of it knows within {seconds:d} s, with each of {count:d} seeds")
def then_all_know(context: Any, seconds: int, count: int) -> None:
    took = [measure_spread(plan).seconds for plan in context.plans]
    assert len(took) == count and max(took) <= seconds, took


@given("store news {news}")
def given_news(context: Any, news: str) -> None:
    context.news = json.loads(news)


@then("that news is rejected as malformed")
def then_rejected(context: Any) -> None:
    try:
        unpack_store_bulletin(context.news)
    except MalformedError:
        return
    raise AssertionError(f"{context.news} was accepted")
