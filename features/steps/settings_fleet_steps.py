"""Steps for the nodes that follow the settings."""

from typing import Any

from behave import given, then, when

from features.settings_fakes import STEP_S, Fleet
from features.settings_scenarios import join, running_nodes, slots_of, wait_until
from features.steps.settings_store_steps import when_tree_slots
from marjoramtide.settings.sync import ChangeRequest


@given("a settings fleet of nodes {names} whose tree is")
def given_fleet(context: Any, names: str) -> None:
    fleet = context.fleet = Fleet()
    context.cleanup.callback(fleet.close)
    context.progress_messages = []
    join(context, names)
    first = fleet.nodes[names[0]]
    fleet.run(first.service.change(ChangeRequest(author="first", base=0, text=context.text)))
    fleet.store.stale_objects = dict(fleet.store.objects)
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
    wait_until(context, 4, lambda: fleet.nodes[name].service.view.is_current)


@when("the settings node {name} joins")
def when_joins(context: Any, name: str) -> None:
    join(context, name)


@given("requests to settings nodes {names} time out")
def given_slow(context: Any, names: str) -> None:
    for name in names.split(", "):
        context.fleet.nodes[name].times_out = True


@when("the tree in the store is changed {count:d} times, once each {seconds:d} s")
def when_changed_often(context: Any, count: int, seconds: int) -> None:
    """Record for each change how long after the write it was in force at each node."""
    fleet = context.fleet
    context.in_force_after = []
    for value in range(20, 20 + count):
        when_tree_slots(context, value)
        made_at = fleet.clock.monotonic()
        in_force_after: dict[str, float] = {}
        context.in_force_after.append(in_force_after)
        while fleet.clock.monotonic() < made_at + seconds:
            fleet.pass_time(STEP_S)
            for node in fleet.nodes.values():
                if slots_of(node) == value:
                    in_force_after.setdefault(node.member.node, fleet.clock.monotonic() - made_at)


@then("each of them was in force at {names} within {seconds:g} s")
def then_taken(context: Any, names: str, seconds: float) -> None:
    for in_force_after in context.in_force_after:
        late = {name: in_force_after.get(name) for name in names.split(", ")}
        assert all(each is not None and each <= seconds for each in late.values()), late


@given("no settings gossip")
def given_no_gossip(context: Any) -> None:
    context.fleet.gossips = False


@given("{seconds:d} s pass for the settings nodes")
@when("{seconds:d} s pass for the settings nodes")
def when_pass(context: Any, seconds: int) -> None:
    context.fleet.pass_time(seconds)


@then("every settings node has slots {value:d} for {service}")
def then_all_slots(context: Any, value: int, service: str) -> None:
    found = {node.member.node: slots_of(node, service) for node in running_nodes(context)}
    assert set(found.values()) == {value}, found


@then("within {seconds:d} s a watching settings node has slots {value:d}")
def then_watcher_has(context: Any, seconds: int, value: int) -> None:
    wait_until(
        context, seconds, lambda: any(slots_of(node) == value for node in running_nodes(context))
    )


@then("{count:d} of the settings nodes are watchers")
def then_watchers(context: Any, count: int) -> None:
    assert sum(node.service.follower.is_watcher() for node in running_nodes(context)) == count


@then("within {seconds:d} s the settings node {name} is current, and then has slots {value:d}")
def then_has_current(context: Any, seconds: int, name: str, value: int) -> None:
    view = context.fleet.nodes[name].service.view
    wait_until(context, seconds, lambda: view.is_current)
    assert slots_of(context.fleet.nodes[name]) == value


@then("within {seconds:d} s all settings nodes have slots {value:d}")
def then_all_within(context: Any, seconds: int, value: int) -> None:
    wait_until(
        context, seconds, lambda: {slots_of(node) for node in running_nodes(context)} == {value}
    )


@then("the settings node {name} has slots {value:d}")
def then_has(context: Any, name: str, value: int) -> None:
    assert slots_of(context.fleet.nodes[name]) == value


@then("the settings node {name} is current")
def then_current(context: Any, name: str) -> None:
    assert context.fleet.nodes[name].service.view.is_current


@then("the settings node {name} is not current")
def then_not_current(context: Any, name: str) -> None:
    assert not context.fleet.nodes[name].service.view.is_current


@then("every settings node is current")
def then_all_current(context: Any) -> None:
    assert all(node.service.view.is_current for node in running_nodes(context))


@then("in {seconds:g} s the settings node {name} is current")
def then_current_soon(context: Any, seconds: float, name: str) -> None:
    wait_until(context, seconds, lambda: context.fleet.nodes[name].service.view.is_current)


@then("for {seconds:d} s no settings node is current unless it has slots {value:d}")
def then_current_by(context: Any, seconds: int, value: int) -> None:
    for _ in range(round(seconds / STEP_S)):
        wrong = [node for node in running_nodes(context) if slots_of(node) != value]
        assert not any(node.service.view.is_current for node in wrong), wrong
        context.fleet.pass_time(STEP_S)


@then("within {seconds:d} s every settings node is current")
def then_all_current_within(context: Any, seconds: int) -> None:
    wait_until(
        context,
        seconds,
        lambda: all(node.service.view.is_current for node in running_nodes(context)),
    )


@then("no settings node is current")
def then_none_current(context: Any) -> None:
    assert not any(node.service.view.is_current for node in running_nodes(context))


@then("no settings node reverted to an older revision")
def then_never_back(context: Any) -> None:
    assert all(seen == sorted(seen) for seen in context.history.values()), context.history


@when("{seconds:d} s pass, in which the settings nodes {one} and {two} are always current")
def when_pass_current(context: Any, seconds: int, one: str, two: str) -> None:
    views = [context.fleet.nodes[name].service.view for name in (one, two)]
    for _ in range(seconds * 2):
        context.fleet.pass_time(0.5)
        assert all(view.is_current for view in views)
