"""Steps for changes of the settings, and for the nodes that follow them."""

import asyncio
from typing import Any

import attrs
from behave import given, then, when

from features.settings_fakes import STEP_S, Fleet, Node
from marjoramtide.errors import MarjoramtideError
from marjoramtide.membership import MemberState
from marjoramtide.settings import Edit, EditAction, Envelope, decode_envelope
from marjoramtide.settings.sync import ChangeOutcome, ChangeRequest, Progress
from marjoramtide.settings.sync._watchers import choose_watchers

TREE = "settings/tree"
WAIT_S = 5.0
AFTERWARDS_S = 4.0


def ask(
    context: Any, node: Node, *edits: Edit, wait_s: float = WAIT_S, **options: Any
) -> ChangeRequest:
    return ChangeRequest(
        author=f"operator at {node.member.node}",
        base=node.service.view.revision,
        edits=edits,
        wait_s=wait_s,
        **options,
    )


def set_slots(branch: str, value: Any, key: str = "slots") -> Edit:
    return Edit(EditAction.SET, branch, key, value)


async def outcome_of(context: Any, node: Node, request: ChangeRequest) -> Any:
    """Return what the operator is told: an outcome or an error."""

    def report(progress: Progress) -> None:
        context.reports.append(progress.message)

    try:
        return await node.service.change(request, report)
    except MarjoramtideError as error:
        return error


def change(context: Any, name: str, *edits: Edit, **options: Any) -> None:
    node = context.fleet.nodes[name]
    context.request = ask(context, node, *edits, **options)
    began = context.fleet.clock.monotonic()
    context.told = context.fleet.run(outcome_of(context, node, context.request))
    context.took = context.fleet.clock.monotonic() - began


def stored(context: Any) -> Envelope:
    return decode_envelope(context.fleet.store.objects[TREE].value)


def write_tree(context: Any, text: str) -> None:
    """Write the next revision as another program would."""
    store = context.fleet.store
    envelope = attrs.evolve(
        stored(context), revision=stored(context).revision + 1, text=text, change="other"
    )
    store.apply(TREE, envelope.encode(), store.objects[TREE].version)


def join(context: Any, names: str, region: str = "west", data_centre: str = "north") -> None:
    for name in names.split(", "):
        context.fleet.start(context.fleet.add(name, region, data_centre))
    context.fleet.pass_time(4)


def nodes(context: Any) -> list[Node]:
    return [node for node in context.fleet.nodes.values() if node.task]


def slots(node: Node, service: str = "mapdesk") -> int:
    return node.service.view.route(service, "/").slots


def within(context: Any, seconds: float, holds: Any) -> None:
    for _ in range(round(seconds / STEP_S)):
        if holds():
            return
        context.fleet.pass_time(STEP_S)
    assert holds()


@given("a settings fleet of nodes {names} whose tree is")
def given_fleet(context: Any, names: str) -> None:
    fleet = context.fleet = Fleet()
    context.cleanup.callback(fleet.close)
    context.reports = []
    join(context, names)
    first = fleet.nodes[names[0]]
    fleet.run(first.service.change(ChangeRequest(author="first", base=0, text=context.text)))
    fleet.store.stale = dict(fleet.store.objects)
    context.history = {name: [] for name in fleet.nodes}
    for name, node in fleet.nodes.items():
        node.service.view.on_change(context.history[name].append)


@given("settings nodes {names} join")
def given_join(context: Any, names: str) -> None:
    join(context, names)


@given("settings nodes {names} join in region {region}")
def given_join_region(context: Any, names: str, region: str) -> None:
    join(context, names, region, "south")


@given("the settings node {name} joins and learns of the others {seconds:d} s later")
def given_joins_late(context: Any, name: str, seconds: int) -> None:
    fleet = context.fleet
    fleet.start(fleet.add(name))

    async def meet() -> None:
        await fleet.clock.sleep(seconds)
        fleet.gossips = True

    context.meeting = fleet.loop.create_task(meet())
    within(context, 4, lambda: fleet.nodes[name].service.view.is_current)


@when("the settings node {name} joins")
def when_joins(context: Any, name: str) -> None:
    join(context, name)


@given("no settings node but {name} reaches the store")
def given_store_cut(context: Any, name: str) -> None:
    for node in nodes(context):
        node.store_cut = node.member.node != name


@given("no settings gossip")
def given_no_gossip(context: Any) -> None:
    context.fleet.gossips = False


@given("the settings store's watches are deaf")
@when("the settings store's watches are deaf")
def given_deaf(context: Any) -> None:
    context.fleet.store.deaf = True


@when("the settings store's watches report a gap")
def when_gap(context: Any) -> None:
    context.fleet.store.gap = True


@given("the settings store hangs")
def given_hangs(context: Any) -> None:
    context.fleet.store.hangs = True


@given("the settings store is down")
def given_down(context: Any) -> None:
    context.fleet.store.down = True


@given("the store's next tree writes end as {fates}")
def given_fates(context: Any, fates: str) -> None:
    context.fleet.store.faults = fates.split(", ")


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
    request = ask(context, other, Edit(EditAction.REMOVE, branch))

    async def hook() -> None:
        await outcome_of(context, other, request)

    context.fleet.store.before_write = hook


@given("another operator at {name} sets slots to {value:d} in {branch} once the next write is lost")
def given_race_with_lost(context: Any, name: str, value: int, branch: str) -> None:
    other = context.fleet.nodes[name]
    context.other_request = ask(context, other, set_slots(branch, value))

    async def hook() -> None:
        context.other = asyncio.ensure_future(outcome_of(context, other, context.other_request))

    context.fleet.store.before_write = hook


@then("what both operators were told is what the tree says")
def then_both_true(context: Any) -> None:
    context.fleet.pass_time(10)
    for request, told in (
        (context.request, context.told),
        (context.other_request, context.other.result()),
    ):
        accepted = isinstance(told, ChangeOutcome)
        assert accepted == bool(stored(context).contains(request.change)), (request, told)
        assert accepted or told.code == "branch-conflict", told


@given("reads are stale {count:d} times after the next tree write")
def given_stale_after(context: Any, count: int) -> None:
    store = context.fleet.store
    store.stale = dict(store.objects)

    async def hook() -> None:
        store.stale_reads = count

    store.before_write = hook


@given("an operator at {name} creates {branch}")
@when("an operator at {name} creates {branch}")
def when_creates(context: Any, name: str, branch: str) -> None:
    change(context, name, Edit(EditAction.CREATE, branch))


@when(
    "the tree in the store is replaced by revision {revision:d} of another lineage "
    "with slots {value:d}"
)
def when_other_lineage(context: Any, revision: int, value: int) -> None:
    store = context.fleet.store
    text = f"[services.mapdesk]\nslots = {value}"
    envelope = attrs.evolve(stored(context), revision=revision, lineage="other", text=text)
    store.apply(TREE, envelope.encode(), store.objects[TREE].version)


@given("the store answers the next {count:d} reads with its first state")
@when("the store answers the next {count:d} reads with its first state")
def given_stale(context: Any, count: int) -> None:
    context.fleet.store.stale_reads = count


@when("the settings store comes back from a copy of its first state")
def when_back_from_copy(context: Any) -> None:
    store = context.fleet.store
    store.objects[TREE] = store.stale[TREE]


@then("the tree in the store has slots {value:d}")
def then_stored_slots(context: Any, value: int) -> None:
    assert f"slots = {value}" in stored(context).text, stored(context).text


def refusal(context: Any, name: str, base: int) -> str:
    """Return why a node can't take a change on top of a revision, empty where it can."""
    body = {"edits": [], "lineage": stored(context).lineage, "base": base}
    answer = context.fleet.run(context.fleet.nodes[name].service.answer_prepare(body))
    return str(answer["reason"])


@then('the settings node {name} can\'t take a change on top of revision {base:d}, "{words}"')
def then_cannot_take(context: Any, name: str, base: int, words: str) -> None:
    assert words in refusal(context, name, base), refusal(context, name, base)


@then("the settings node {name} can take a change on top of revision {base:d}")
def then_can_take(context: Any, name: str, base: int) -> None:
    assert not refusal(context, name, base), refusal(context, name, base)


@given("the settings node {name} is cut off from all")
def given_cut_off(context: Any, name: str) -> None:
    if name not in context.fleet.nodes:
        context.fleet.add(name)
    node = context.fleet.nodes[name]
    node.store_cut, node.group = True, 99
    if not node.task:
        context.fleet.start(node)


@given("the settings node {name} is cut off from its peers")
def given_peers_cut(context: Any, name: str) -> None:
    context.fleet.nodes[name].group = 99


@when("the settings node {name} is reached again")
def when_reached(context: Any, name: str) -> None:
    node = context.fleet.nodes[name]
    node.store_cut, node.group = False, 0


@given("region {region} is cut off from the store and the rest")
@when("region {region} is cut off from the store and the rest")
def given_region_cut(context: Any, region: str) -> None:
    for node in nodes(context):
        if node.member.region == region:
            node.store_cut, node.group = True, 7


@when("region {region} is healed")
def when_region_healed(context: Any, region: str) -> None:
    for node in nodes(context):
        node.store_cut, node.group = False, 0


@given("the settings node {name} is frozen")
def given_frozen(context: Any, name: str) -> None:
    context.fleet.nodes[name].running.clear()


@given("the settings node {name} is found dead")
def given_found_dead(context: Any, name: str) -> None:
    for other in nodes(context):
        found = other.known.pop(name, None)
        for listener in other.listeners if found else ():
            listener(attrs.evolve(found, state=MemberState.DEAD))


@given("the settings nodes {names} are frozen")
def given_nodes_frozen(context: Any, names: str) -> None:
    for name in names.split(", "):
        context.fleet.nodes[name].running.clear()


@given("the settings node {name} is frozen for {seconds:g} s right after it asked")
def given_frozen_after(context: Any, name: str, seconds: float) -> None:
    node = context.fleet.nodes[name]
    asked_at = node.service.view.freshness.caught_up_at
    within(context, 9, lambda: node.service.view.freshness.caught_up_at > asked_at)
    node.running.clear()
    context.fleet.pass_time(seconds)


@given("the settings node {name} is frozen while a peer's answer is on its way")
def given_frozen_mid_answer(context: Any, name: str) -> None:
    node = context.fleet.nodes[name]
    node.freezes_on_answer = True
    within(context, 9, lambda: node.frozen)


@given(
    "the settings node {name} freezes just before its next tree write, until b changed the branch"
)
def given_freezes_before_write(context: Any, name: str) -> None:
    frozen, other = context.fleet.nodes[name], context.fleet.nodes["b"]

    async def hook() -> None:
        frozen.running.clear()
        request = ask(context, other, set_slots("/services/mapdesk", 12), insist=True)
        await outcome_of(context, other, request)
        frozen.running.set()

    context.fleet.store.before_write = hook


@given("every settings node is frozen")
def given_all_frozen(context: Any) -> None:
    for node in nodes(context):
        node.running.clear()


@when("every settings node wakes")
def when_all_wake(context: Any) -> None:
    for node in nodes(context):
        node.running.set()


@when("the settings node {name} wakes")
def when_wakes(context: Any, name: str) -> None:
    context.fleet.nodes[name].running.set()


@when("the settings node {name} wakes cut off from all")
def when_wakes_cut(context: Any, name: str) -> None:
    node = context.fleet.nodes[name]
    node.store_cut, node.group = True, 99
    node.running.set()


@when("the settings node {name} is replaced while gossip is late and {count:d} reads are stale")
def when_replaced(context: Any, name: str, count: int) -> None:
    """The new process knows who the others are, but not yet which revision they have."""
    context.fleet.stop(context.fleet.nodes[name])
    node = context.fleet.add(name)
    others = [other.member for other in nodes(context) if other is not node]
    node.known = {member.node: attrs.evolve(member, revision=0) for member in others}
    context.fleet.gossips = False
    context.fleet.store.stale_reads = count
    context.fleet.start(node)


@given("{seconds:d} s pass for the settings nodes")
@when("{seconds:d} s pass for the settings nodes")
def when_pass(context: Any, seconds: int) -> None:
    context.fleet.pass_time(seconds)


@when("the watches of the settings end")
def when_watches_end(context: Any) -> None:
    context.fleet.pass_time(35)


@when("the tree in the store is changed to slots {value:d}")
def when_tree_slots(context: Any, value: int) -> None:
    write_tree(context, f"[services.mapdesk]\nslots = {value}")


@when('the tree in the store is changed to "{text}"')
def when_tree_text(context: Any, text: str) -> None:
    write_tree(context, text.replace("\\n", "\n"))


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
    assert stored(context).contains(context.request.change)


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
    assert not decode_envelope(tree.value).contains(context.request.change)


@then("what the operator was told is what the tree says")
def then_truth(context: Any) -> None:
    context.fleet.pass_time(10)
    entry = stored(context).contains(context.request.change)
    assert isinstance(context.told, ChangeOutcome) == bool(entry), (context.told, entry)


@then("the operator was told that it is not known yet")
def then_told_doubt(context: Any) -> None:
    assert any("not known yet" in message for message in context.reports), context.reports


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
    assert words in stored(context).text, stored(context).text


@then("the settings service {name} is gone everywhere")
def then_gone(context: Any, name: str) -> None:
    context.fleet.pass_time(5)
    assert not any(name in node.service.view.routes for node in nodes(context))


@then("every settings node has slots {value:d} for {service}")
def then_all_slots(context: Any, value: int, service: str) -> None:
    found = {node.member.node: slots(node, service) for node in nodes(context)}
    assert set(found.values()) == {value}, found


@then("within {seconds:d} s a watching settings node has slots {value:d}")
def then_watcher_has(context: Any, seconds: int, value: int) -> None:
    within(context, seconds, lambda: any(slots(node) == value for node in nodes(context)))


@then("{count:d} of the settings nodes are watchers")
def then_watchers(context: Any, count: int) -> None:
    assert sum(node.service.follower.is_watcher() for node in nodes(context)) == count


@then("within {seconds:d} s the settings node {name} is current, and then has slots {value:d}")
def then_has_current(context: Any, seconds: int, name: str, value: int) -> None:
    view = context.fleet.nodes[name].service.view
    within(context, seconds, lambda: view.is_current)
    assert slots(context.fleet.nodes[name]) == value


@then("within {seconds:d} s all settings nodes have slots {value:d}")
def then_all_within(context: Any, seconds: int, value: int) -> None:
    within(context, seconds, lambda: {slots(node) for node in nodes(context)} == {value})


@then("the settings node {name} has slots {value:d}")
def then_has(context: Any, name: str, value: int) -> None:
    assert slots(context.fleet.nodes[name]) == value


@then("the settings node {name} is current")
def then_current(context: Any, name: str) -> None:
    assert context.fleet.nodes[name].service.view.is_current


@then("the settings node {name} is not current")
def then_not_current(context: Any, name: str) -> None:
    assert not context.fleet.nodes[name].service.view.is_current


@then("every settings node is current")
def then_all_current(context: Any) -> None:
    assert all(node.service.view.is_current for node in nodes(context))


@then("in {seconds:g} s the settings node {name} is current")
def then_current_soon(context: Any, seconds: float, name: str) -> None:
    within(context, seconds, lambda: context.fleet.nodes[name].service.view.is_current)


@then("for {seconds:d} s no settings node is current but by slots {value:d}")
def then_current_by(context: Any, seconds: int, value: int) -> None:
    for _ in range(round(seconds / STEP_S)):
        wrong = [node for node in nodes(context) if slots(node) != value]
        assert not any(node.service.view.is_current for node in wrong), wrong
        context.fleet.pass_time(STEP_S)


@then("within {seconds:d} s every settings node is current")
def then_all_current_within(context: Any, seconds: int) -> None:
    within(context, seconds, lambda: all(node.service.view.is_current for node in nodes(context)))


@then("no settings node is current")
def then_none_current(context: Any) -> None:
    assert not any(node.service.view.is_current for node in nodes(context))


@then("no settings node went back")
def then_never_back(context: Any) -> None:
    assert all(seen == sorted(seen) for seen in context.history.values()), context.history


@then("the change is in force and the settings node {name} is not current")
def then_in_force(context: Any, name: str) -> None:
    assert context.told.in_force, context.told
    assert not context.fleet.nodes[name].service.view.is_current


@then("all of that took less than {seconds:d} s")
def then_took(context: Any, seconds: int) -> None:
    assert context.took < seconds, context.took


@when("{seconds:d} s pass, in which the settings nodes {one} and {two} are always current")
def when_pass_current(context: Any, seconds: int, one: str, two: str) -> None:
    views = [context.fleet.nodes[name].service.view for name in (one, two)]
    for _ in range(seconds * 2):
        context.fleet.pass_time(0.5)
        assert all(view.is_current for view in views)


@when(
    "{count:d} changes follow each other by {seconds:g} s, "
    "and the node that goes first loses the store after {before:d}"
)
def when_storm(context: Any, count: int, seconds: float, before: int) -> None:
    (first,) = choose_watchers([node.member for node in nodes(context)], 1)
    written_at: dict[int, float] = {}
    context.behind_s = 0.0

    def look() -> None:
        now = context.fleet.clock.monotonic()
        oldest = min(slots(node) for node in nodes(context))
        late = (now - at for value, at in written_at.items() if value > oldest)
        context.behind_s = max(context.behind_s, max(late, default=0.0))

    for number in range(count):
        context.fleet.nodes[first].store_cut = number >= before
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
