"""Steps of membership over a network in memory."""

from typing import Any

from behave import given, then, when

from features.membership.network import Network, Node
from marjoramtide.membership import MemberState

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall", "navrangpura", "sanand")


def running(context: Any) -> list[Node]:
    return [node for node in context.network.nodes.values() if node.running]


def node_of(context: Any, number: int) -> Node:
    return context.network.nodes[f"node-{number}"]


@given("a membership network with seed {seed:d} and {count:d} nodes")
def start_network(context: Any, seed: int, count: int) -> None:
    context.network = Network(seed)
    for number in range(count):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        context.network.start_node(f"node-{number}", data_centre=data_centre)


@when("{seconds:d} seconds of membership pass")
@when("{seconds:d} second of membership pass")
def pass_time(context: Any, seconds: int) -> None:
    context.network.run(seconds)


@when("membership node {number:d} stops without a word")
def crash(context: Any, number: int) -> None:
    node_of(context, number).running = False


@when("membership node {number:d} starts draining")
def start_draining(context: Any, number: int) -> None:
    node = node_of(context, number)
    node.core.set_state(MemberState.DRAINING)
    context.network.flush(node)


@then("every running node holds the same {count:d} members")
def same_members(context: Any, count: int) -> None:
    names = {
        node.name: sorted(member.node for member in node.core.view.members())
        for node in running(context)
    }
    wrong = {name: len(found) for name, found in names.items() if len(found) != count}
    assert not wrong, f"members held: {wrong}"
    assert len({tuple(found) for found in names.values()}) == 1


@then('every running node sees membership node {number:d} as "{state}"')
def seen_as(context: Any, number: int, state: str) -> None:
    name = node_of(context, number).name
    seen = {node.name: node.states().get(name) for node in running(context)}
    wrong = {observer: found for observer, found in seen.items() if found != state}
    assert not wrong, wrong


@then("membership node {number:d} is not offered for its service")
def not_offered(context: Any, number: int) -> None:
    member = node_of(context, number).core.own.member
    offering = [
        node.name
        for node in running(context)
        if member.node in [found.node for found in node.core.view.members_of(member.service)]
    ]
    assert not offering, offering


@then("no membership node had to refute anything")
def no_refutations(context: Any) -> None:
    refuted = [node.name for node in running(context) if node.core.counters.refutations]
    assert not refuted, refuted
