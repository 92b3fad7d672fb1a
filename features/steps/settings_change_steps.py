"""Steps for operators who change the settings, and for the results they are told."""

import asyncio
from typing import Any

from behave import given, then, when

from features.settings_scenarios import (
    TREE,
    make_change,
    make_request,
    running_nodes,
    set_slots,
    slots_of,
    stored_envelope,
    submit_change,
)
from marjoramtide.errors import MarjoramtideError
from marjoramtide.settings import Edit, EditAction, decode_envelope
from marjoramtide.settings.sync import ChangeOutcome


@then("both outcomes reported match the tree")
def then_both_match(context: Any) -> None:
    context.fleet.pass_time(10)
    for request, outcome in (
        (context.request, context.outcome),
        (context.other_request, context.other_outcome.result()),
    ):
        accepted = isinstance(outcome, ChangeOutcome)
        assert accepted == bool(stored_envelope(context).find_change(request.change)), (
            request,
            outcome,
        )
        assert accepted or outcome.code == "branch-conflict", outcome


@given("an operator at {name} creates {branch}")
@when("an operator at {name} creates {branch}")
def when_creates(context: Any, name: str, branch: str) -> None:
    make_change(context, name, Edit(EditAction.CREATE, branch))


@when("an operator at {name:w} sets {key:w} = {value:d} in {branch:S}")
def when_sets(context: Any, name: str, key: str, value: int, branch: str) -> None:
    make_change(context, name, set_slots(branch, value, key))


@when("an operator at {name:w} sets {key:w} = {value:d} in {branch:S} and waits {seconds:d} s")
def when_sets_waiting(
    context: Any, name: str, key: str, value: int, branch: str, seconds: int
) -> None:
    make_change(context, name, set_slots(branch, value, key), wait_s=seconds)


@when(
    "an operator at {name:w} sets {key:w} = {value:d} in {branch:S} "
    "and disconnects after {seconds:d} s"
)
def when_disconnects(
    context: Any, name: str, key: str, value: int, branch: str, seconds: int
) -> None:
    node = context.fleet.nodes[name]
    request = make_request(context, node, set_slots(branch, value, key))
    waiting = context.fleet.loop.create_task(submit_change(context, node, request))
    context.fleet.pass_time(seconds)
    waiting.cancel()


@given("an operator at {name} insists on {key} = {value:d} in {branch}")
@when("an operator at {name} insists on {key} = {value:d} in {branch}")
def when_insists(context: Any, name: str, key: str, value: int, branch: str) -> None:
    make_change(context, name, set_slots(branch, value, key), insist=True)


@when("the operator asks for the same change again at {name}")
def when_repeats(context: Any, name: str) -> None:
    context.outcome = context.fleet.run(
        submit_change(context, context.fleet.nodes[name], context.request)
    )


@when("an operator at {name} rolls back to revision {revision:d}")
def when_rollback(context: Any, name: str, revision: int) -> None:
    make_change(context, name, rollback_to=revision)


@when("operators at a and b race to set slots to {one:d} and {two:d} in {first} and {second}")
def when_race(context: Any, one: int, two: int, first: str, second: str) -> None:
    a, b = context.fleet.nodes["a"], context.fleet.nodes["b"]
    context.values = (one, two)

    async def race() -> Any:
        return await asyncio.gather(
            submit_change(context, a, make_request(context, a, set_slots(first, one))),
            submit_change(context, b, make_request(context, b, set_slots(second, two))),
        )

    context.outcome = context.fleet.run(race())


@then("one of the racing changes is accepted and the other is a branch-conflict")
def then_one_wins(context: Any) -> None:
    accepted = [isinstance(outcome, ChangeOutcome) for outcome in context.outcome]
    assert sum(accepted) == 1, context.outcome
    assert context.outcome[accepted.index(False)].code == "branch-conflict", context.outcome
    context.accepted = context.values[accepted.index(True)]


@then("both racing changes are accepted")
def then_both(context: Any) -> None:
    assert sorted(outcome.revision for outcome in context.outcome) == [2, 3], context.outcome


@then("every settings node has the slots of the accepted change")
def then_accepted_slots(context: Any) -> None:
    assert {slots_of(node) for node in running_nodes(context)} == {context.accepted}


@then("the change is accepted as revision {revision:d}")
def then_accepted(context: Any, revision: int) -> None:
    assert isinstance(context.outcome, ChangeOutcome), context.outcome
    assert context.outcome.revision == revision, context.outcome
    assert stored_envelope(context).find_change(context.request.change)


@then("the laggards are {name}")
def then_laggards(context: Any, name: str) -> None:
    assert context.outcome.laggards == (name.strip('"'),), context.outcome


@then("the change is rejected with {code}")
def then_rejected(context: Any, code: str) -> None:
    code, _, words = code.partition(" naming ")
    assert isinstance(context.outcome, MarjoramtideError), context.outcome
    assert context.outcome.code == code, context.outcome
    assert words.strip('"') in context.outcome.message, context.outcome
    tree = context.fleet.store.objects[TREE]
    assert not decode_envelope(tree.value).find_change(context.request.change)


@then("the outcome reported matches the tree")
def then_outcome_matches(context: Any) -> None:
    context.fleet.pass_time(10)
    entry = stored_envelope(context).find_change(context.request.change)
    assert isinstance(context.outcome, ChangeOutcome) == bool(entry), (context.outcome, entry)


@then("the operator was told that the result is not known yet")
def then_told_uncertain(context: Any) -> None:
    assert any(
        "not known yet" in message for message in context.progress_messages
    ), context.progress_messages


@then("the settings service {name} is removed on every node")
def then_gone(context: Any, name: str) -> None:
    context.fleet.pass_time(5)
    assert not any(name in node.service.view.routes for node in running_nodes(context))


@then("the change is in force and the settings node {name} is not current")
def then_in_force(context: Any, name: str) -> None:
    assert context.outcome.in_force, context.outcome
    assert not context.fleet.nodes[name].service.view.is_current


@then("all of that took less than {seconds:d} s")
def then_duration(context: Any, seconds: int) -> None:
    assert context.duration_s < seconds, context.duration_s
