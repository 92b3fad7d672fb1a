"""Steps for the store behind the settings and its faults."""

import asyncio
from typing import Any

import attrs
from behave import given, then, when

from features.settings_fakes import STEP_S
from features.settings_scenarios import (
    TREE,
    make_request,
    running_nodes,
    set_slots,
    slots_of,
    stored_envelope,
    submit_change,
    write_tree,
)
from marjoramtide.settings import Edit, EditAction
from marjoramtide.settings.sync._watchers import choose_watchers

AFTERWARDS_S = 4.0


@given("no settings node but {names} reaches the store")
@given("no settings nodes but {names} reach the store")
def given_store_cut(context: Any, names: str) -> None:
    for node in running_nodes(context):
        node.is_store_cut_off = node.member.node not in names.split(", ")


@given("the settings store's watches deliver nothing")
@when("the settings store's watches deliver nothing")
def given_no_events(context: Any) -> None:
    context.fleet.store.drops_events = True


@when("the settings store's watches report a gap")
def when_gap(context: Any) -> None:
    context.fleet.store.reports_gap = True


@given("the settings store hangs")
def given_hangs(context: Any) -> None:
    context.fleet.store.hangs = True


@given("the settings store is down")
def given_down(context: Any) -> None:
    context.fleet.store.down = True


@given("the store's next tree writes end as {fates}")
def given_write_faults(context: Any, fates: str) -> None:
    context.fleet.store.write_faults = fates.split(", ")


@given("the store goes down with the next tree write and is back after {seconds:d} s")
def given_down_with_write(context: Any, seconds: int) -> None:
    store, clock = context.fleet.store, context.fleet.clock

    async def outage() -> None:
        store.down = True
        await clock.sleep(seconds)
        store.down = False

    async def hook() -> None:
        context.outage = asyncio.ensure_future(outage())

    store.before_write = hook


@given("another operator at {name} removes {branch} just before the next write")
def given_removed(context: Any, name: str, branch: str) -> None:
    other = context.fleet.nodes[name]
    request = make_request(context, other, Edit(EditAction.REMOVE, branch))

    async def hook() -> None:
        await submit_change(context, other, request)

    context.fleet.store.before_write = hook


@given("another operator at {name} sets slots to {value:d} in {branch} once the next write is lost")
def given_race_with_lost(context: Any, name: str, value: int, branch: str) -> None:
    other = context.fleet.nodes[name]
    context.other_request = make_request(context, other, set_slots(branch, value))

    async def hook() -> None:
        context.other_outcome = asyncio.ensure_future(
            submit_change(context, other, context.other_request)
        )

    context.fleet.store.before_write = hook


@given("reads are stale {count:d} times after the next tree write")
def given_stale_after(context: Any, count: int) -> None:
    store = context.fleet.store
    store.stale_objects = dict(store.objects)

    async def hook() -> None:
        store.stale_reads = count

    store.before_write = hook


@when(
    "the tree in the store is replaced by revision {revision:d} of another lineage "
    "with slots {value:d}"
)
def when_other_lineage(context: Any, revision: int, value: int) -> None:
    store = context.fleet.store
    text = f"[services.mapdesk]\nslots = {value}"
    envelope = attrs.evolve(stored_envelope(context), revision=revision, lineage="other", text=text)
    store.apply(TREE, envelope.encode(), store.objects[TREE].version)


@given("the store answers the next {count:d} reads with its first state")
@when("the store answers the next {count:d} reads with its first state")
def given_stale(context: Any, count: int) -> None:
    context.fleet.store.stale_reads = count


@when("the settings store is restored from a backup of its first state")
def when_restored_from_backup(context: Any) -> None:
    store = context.fleet.store
    store.objects[TREE] = store.stale_objects[TREE]


@then("the tree in the store has slots {value:d}")
def then_stored_slots(context: Any, value: int) -> None:
    assert f"slots = {value}" in stored_envelope(context).text, stored_envelope(context).text


def prepare_refusal(context: Any, name: str, base: int) -> str:
    """Return why a node rejects a change on top of a revision, empty if it accepts it."""
    body = {"edits": [], "lineage": stored_envelope(context).lineage, "base": base}
    answer = context.fleet.run(context.fleet.nodes[name].service.answer_prepare(body))
    return str(answer["reason"])


@then('the settings node {name} rejects a change on top of revision {base:d}, "{words}"')
def then_rejects_change(context: Any, name: str, base: int, words: str) -> None:
    assert words in prepare_refusal(context, name, base), prepare_refusal(context, name, base)


@then("the settings node {name} accepts a change on top of revision {base:d}")
def then_accepts_change(context: Any, name: str, base: int) -> None:
    assert not prepare_refusal(context, name, base), prepare_refusal(context, name, base)


@when("the watches of the settings end")
def when_watches_end(context: Any) -> None:
    context.fleet.pass_time(35)


@when("the tree in the store is changed to slots {value:d}")
def when_tree_slots(context: Any, value: int) -> None:
    write_tree(context, f"[services.mapdesk]\nslots = {value}")


@when('the tree in the store is changed to "{text}"')
def when_tree_text(context: Any, text: str) -> None:
    write_tree(context, text.replace("\\n", "\n"))


@then("the tree was written {count:d} times")
def then_writes(context: Any, count: int) -> None:
    context.fleet.pass_time(5)
    assert context.fleet.store.tree_writes == count, context.fleet.store.tree_writes


@then("{seconds:d} s after the store is back the tree was written {count:d} times")
def then_writes_later(context: Any, seconds: int, count: int) -> None:
    context.fleet.store.down = False
    context.fleet.pass_time(seconds)
    assert context.fleet.store.tree_writes == count


@then('the tree text contains "{words}"')
def then_text(context: Any, words: str) -> None:
    assert words in stored_envelope(context).text, stored_envelope(context).text


@when(
    "{count:d} changes follow each other by {seconds:g} s, "
    "and the primary watcher loses the store after {before:d}"
)
def when_storm(context: Any, count: int, seconds: float, before: int) -> None:
    (first,) = choose_watchers([node.member for node in running_nodes(context)], 1)
    written_at: dict[int, float] = {}
    context.behind_s = 0.0

    def look() -> None:
        now = context.fleet.clock.monotonic()
        oldest = min(slots_of(node) for node in running_nodes(context))
        late = (now - at for value, at in written_at.items() if value > oldest)
        context.behind_s = max(context.behind_s, max(late, default=0.0))

    for number in range(count):
        context.fleet.nodes[first].is_store_cut_off = number >= before
        write_tree(context, f"[services.mapdesk]\nslots = {20 + number}\n")
        written_at[20 + number] = context.fleet.clock.monotonic()
        for _ in range(round(seconds / STEP_S)):
            context.fleet.pass_time(STEP_S)
            look()
    for _ in range(round(AFTERWARDS_S / STEP_S)):
        context.fleet.pass_time(STEP_S)
        look()


@then("no settings node was ever {seconds:g} s behind")
def then_never_behind(context: Any, seconds: float) -> None:
    assert context.behind_s < seconds, context.behind_s
