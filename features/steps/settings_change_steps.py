"""Steps on operators who change the settings, and on what they are told."""

import asyncio
from typing import Any

from behave import given, then, when

from features.settings_scenarios import (
    TREE,
    ask,
    change,
    nodes,
    outcome_of,
    set_slots,
    slots,
    stored,
)
from marjoramtide.errors import MarjoramtideError
from marjoramtide.settings import Edit, EditAction, decode_envelope
from marjoramtide.settings.sync import ChangeOutcome


@then("what both operators were told is what the tree says")
def then_both_true(context: Any) -> None:
    context.fleet.pass_time(10)
    for request, told in (
        (context.request, context.told),
        (context.other_request, context.other.result()),
    ):
        accepted = isinstance(told, ChangeOutcome)
        assert accepted == bool(stored(context).find_change(request.change)), (request, told)
        assert accepted or told.code == "branch-conflict", told


@given("an operator at {name} creates {branch}")
@when("an operator at {name} creates {branch}")
def when_creates(context: Any, name: str, branch: str) -> None:
    change(context, name, Edit(EditAction.CREATE, branch))


@when("an operator at {name:w} sets {key:w} = {value:d} in {branch:S}")
def when_sets(context: Any, name: str, key: str, value: int, branch: str) -> None:
    change(context, name, set_slots(branch, value, key))


@when("an operator at {name:w} sets {key:w} = {value:d} in {branch:S} and waits {seconds:d} s")
def when_sets_waiting(
    context: Any, name: str, key: str, value: int, branch: str, seconds: int
) -> None:
    change(context, name, set_slots(branch, value, key), wait_s=seconds)


@when("an operator at {name:w} sets {key:w} = {value:d} in {branch:S}, hanging up in {seconds:d} s")
def when_hangs_up(context: Any, name: str, key: str, value: int, branch: str, seconds: int) -> None:
    node = context.fleet.nodes[name]
    request = ask(context, node, set_slots(branch, value, key))
    waiting = context.fleet.loop.create_task(outcome_of(context, node, request))
    context.fleet.pass_time(seconds)
    waiting.cancel()


@given("an operator at {name} insists on {key} = {value:d} in {branch}")
@when("an operator at {name} insists on {key} = {value:d} in {branch}")
def when_insists(context: Any, name: str, key: str, value: int, branch: str) -> None:
    change(context, name, set_slots(branch, value, key), insist=True)


@when("the operator asks for the same change again at {name}")
def when_again(context: Any, name: str) -> None:
    context.told = context.fleet.run(
        outcome_of(context, context.fleet.nodes[name], context.request)
    )


@when("an operator at {name} goes back to revision {revision:d}")
def when_rollback(context: Any, name: str, revision: int) -> None:
    change(context, name, rollback_to=revision)


@when("operators at a and b race to set slots to {one:d} and {two:d} in {first} and {second}")
def when_race(context: Any, one: int, two: int, first: str, second: str) -> None:
    a, b = context.fleet.nodes["a"], context.fleet.nodes["b"]
    context.values = (one, two)

    async def race() -> Any:
        return await asyncio.gather(
            outcome_of(context, a, ask(context, a, set_slots(first, one))),
            outcome_of(context, b, ask(context, b, set_slots(second, two))),
        )

    context.told = context.fleet.run(race())


@then("one of the racing changes is accepted and the other is a branch-conflict")
def then_one_wins(context: Any) -> None:
    accepted = [isinstance(told, ChangeOutcome) for told in context.told]
    assert sum(accepted) == 1, context.told
    assert context.told[accepted.index(False)].code == "branch-conflict", context.told
    context.accepted = context.values[accepted.index(True)]


@then("both racing changes are accepted")
def then_both(context: Any) -> None:
    assert sorted(told.revision for told in context.told) == [2, 3], context.told


@then("every settings node has the slots of the accepted change")
def then_accepted_slots(context: Any) -> None:
    assert {slots(node) for node in nodes(context)} == {context.accepted}


@then("the change is accepted as revision {revision:d}")
def then_accepted(context: Any, revision: int) -> None:
    assert isinstance(context.told, ChangeOutcome), context.told
    assert context.told.revision == revision, context.told
    assert stored(context).find_change(context.request.change)


@then("the laggards are {name}")
def then_laggards(context: Any, name: str) -> None:
    assert context.told.laggards == (name.strip('"'),), context.told


@then("the change is rejected with {code}")
def then_rejected(context: Any, code: str) -> None:
    code, _, words = code.partition(" naming ")
    assert isinstance(context.told, MarjoramtideError), context.told
    assert context.told.code == code, context.told
    assert words.strip('"') in context.told.message, context.told
    tree = context.fleet.store.objects[TREE]
    assert not decode_envelope(tree.value).find_change(context.request.change)


@then("what the operator was told is what the tree says")
def then_truth(context: Any) -> None:
    context.fleet.pass_time(10)
    entry = stored(context).find_change(context.request.change)
    assert isinstance(context.told, ChangeOutcome) == bool(entry), (context.told, entry)


@then("the operator was told that it is not known yet")
def then_told_doubt(context: Any) -> None:
    assert any("not known yet" in message for message in context.reports), context.reports


@then("the settings service {name} is gone everywhere")
def then_gone(context: Any, name: str) -> None:
    context.fleet.pass_time(5)
    assert not any(name in node.service.view.routes for node in nodes(context))


@then("the change is in force and the settings node {name} is not current")
def then_in_force(context: Any, name: str) -> None:
    assert context.told.in_force, context.told
    assert not context.fleet.nodes[name].service.view.is_current


@then("all of that took less than {seconds:d} s")
def then_took(context: Any, seconds: int) -> None:
    assert context.took < seconds, context.took
