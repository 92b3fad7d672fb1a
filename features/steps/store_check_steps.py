"""Steps for fleets in virtual time whose store leaves nodes without answers."""

import json
import random
from typing import Any

import attrs
from behave import given, then, when

from bench.outages import Fact, OutagePlan, Scope, measure_calls, measure_outage
from marjoramtide.checked import MalformedError
from marjoramtide.storecheck import CheckSchedule
from marjoramtide.storecheck._check_bulletin import unpack_check_bulletin
from standins.platform import FaultKind, StoreFault

SCOPES = {
    "a third": Scope.THIRD,
    "those that read it": Scope.READERS,
    "all nodes": Scope.ALL,
}
KINDS = {
    "silence": FaultKind.SILENCE,
    "resets": FaultKind.RESET,
    "refusals": FaultKind.REFUSAL,
}
AGAIN = ", then again"
REST_S = 30.0
NOW_S = 100.0


@given("a fleet of {nodes:d} nodes whose store gives {what} to {who} for {seconds:g} s")
def given_fault(context: Any, nodes: int, who: str, what: str, seconds: float) -> None:
    kind, _, watches = what.partition(" ")
    context.plan = OutagePlan(
        nodes,
        SCOPES[who.removesuffix(AGAIN)],
        StoreFault(KINDS[kind], watches_only=bool(watches)),
        seconds,
        again=who.endswith(AGAIN),
    )


@given("a fleet of {nodes:d} nodes whose watches' connections have gone silent")
def given_silent_watches(context: Any, nodes: int) -> None:
    context.plan = OutagePlan(nodes, Scope.READERS, loses_watches=True)


@given("their configuration takes {seconds:g} s to arrive")
def given_slow_configuration(context: Any, seconds: float) -> None:
    context.plan = attrs.evolve(context.plan, configuration_s=seconds)


@given("a fleet of {nodes:d} nodes at rest")
def given_rest(context: Any, nodes: int) -> None:
    context.nodes = nodes


@when("the configuration changes {seconds:g} s later")
def when_configuration(context: Any, seconds: float) -> None:
    context.plan = attrs.evolve(context.plan, change_at_s=seconds, fact=Fact.CONFIGURATION)


@when("the store is restored from a copy {seconds:g} s later")
def when_restored(context: Any, seconds: float) -> None:
    context.plan = attrs.evolve(context.plan, change_at_s=seconds, fact=Fact.EPOCH)


@when("a key is revoked {seconds:g} s later")
def when_revoked(context: Any, seconds: float) -> None:
    context.plan = attrs.evolve(context.plan, change_at_s=seconds, fact=Fact.KEY)


@when("a data centre is evacuated {seconds:g} s later")
def when_evacuation(context: Any, seconds: float) -> None:
    context.plan = attrs.evolve(context.plan, change_at_s=seconds, fact=Fact.EVACUATION)


@then("all nodes know of it within {seconds:g} s in {seeds:d} plays from seed {first:d}")
def then_known(context: Any, seconds: float, seeds: int, first: int) -> None:
    context.results = []
    for seed in range(first, first + seeds):
        result = measure_outage(attrs.evolve(context.plan, seed=seed))
        context.results.append(result)
        assert result.late_s <= seconds, (seed, result)


@then("no node has refused valid keys")
def then_no_refusal(context: Any) -> None:
    assert not any(result.refusing_s for result in context.results), context.results


@then(
    "all nodes know of it within {seconds:g} s, or {after_end:g} s after the end, "
    "in {seeds:d} plays from seed {first:d}"
)
def then_known_after_end(
    context: Any, seconds: float, after_end: float, seeds: int, first: int
) -> None:
    for seed in range(first, first + seeds):
        result = measure_outage(attrs.evolve(context.plan, seed=seed))
        assert result.late_s <= seconds or result.after_end_s <= after_end, (seed, result)


@then("it makes at most {calls:d} call a second more with checks of the store than without")
def then_price(context: Any, calls: int) -> None:
    with_checks, without = (
        measure_calls(context.nodes, REST_S, has_checks=has_checks) for has_checks in (True, False)
    )
    more = sum(with_checks[kind] - without[kind] for kind in ("reads", "watches"))
    assert more <= calls, (with_checks, without)


def make_schedules(context: Any, names: str, size: int) -> None:
    context.now = NOW_S
    context.schedules = {
        name: CheckSchedule(name, random.Random(name), lambda: size, NOW_S)
        for name in names.split(", ")
    }
    for schedule in context.schedules.values():
        schedule.begin(NOW_S)


@given("schedules of checks of nodes {names}")
def given_schedules(context: Any, names: str) -> None:
    make_schedules(context, names, len(names.split(", ")))


@given("a fleet of {size:d} nodes, and schedules of checks of nodes {names}")
def given_large_schedules(context: Any, size: int, names: str) -> None:
    make_schedules(context, names, size)


@when("{first} and {second} check at the same moment, and all hear of both")
def when_both_check(context: Any, first: str, second: str) -> None:
    for name in (first, second):
        context.schedules[name].record_own(context.now)
    for name in (first, second):
        number = context.schedules[name].number
        for hearer, schedule in context.schedules.items():
            if hearer != name:
                schedule.record_heard(number, name, context.now)


@then("{name} is the next to check at {names}")
def then_next(context: Any, name: str, names: str) -> None:
    checkers = {each: context.schedules[each].checked_by for each in names.split(", ")}
    assert set(checkers.values()) == {name}, checkers
    assert [each for each in checkers if context.schedules[each].is_checker] == [name]


@when("{name} checks, and {hearer} hears of it at once and {seconds:d} s later")
def when_heard_twice(context: Any, name: str, hearer: str, seconds: int) -> None:
    context.schedules[name].record_own(context.now)
    for at in (context.now, context.now + seconds):
        context.schedules[hearer].record_heard(1, name, at)
    context.now += seconds


@then("{name} has heard of no check for {seconds:d} s")
def then_unheard(context: Any, name: str, seconds: int) -> None:
    assert context.now - context.schedules[name].checked_at == seconds


@when("{name} asks the store, hears of a check of {other} and gets no answer")
def when_failed(context: Any, name: str, other: str) -> None:
    asked_at, heard_at, failed_at = context.now, context.now + 0.1, context.now + 0.5
    context.schedules[name].record_heard(1, other, heard_at)
    context.schedules[name].record_failure(asked_at, failed_at)


@then("{name} is to check within {seconds:d} s")
def then_is_to_check(context: Any, name: str, seconds: int) -> None:
    assert context.schedules[name].next_at <= context.now + seconds
    assert not context.schedules[name].failures


@given("a check bulletin of the fields {fields}")
def given_bulletin(context: Any, fields: str) -> None:
    context.fields = json.loads(fields)


@then("that check bulletin is rejected as malformed")
def then_malformed(context: Any) -> None:
    try:
        unpack_check_bulletin(context.fields)
    except MalformedError:
        return
    raise AssertionError(f"{context.fields} was accepted")
