"""Steps that check which states members have seen each other in."""

from typing import Any

from behave import then

from features.gossip_scenarios import check_state, node_of, pairs_that_saw, running_nodes
from marjoramtide.membership import EventKind, MemberState


@then("no membership node had to refute anything")
def no_refutations(context: Any) -> None:
    refuted = [node.name for node in running_nodes(context) if node.core.counters.refutations]
    assert not refuted, refuted


@then("only membership node {number:d} had to refute anything")
def one_refuted(context: Any, number: int) -> None:
    refuted = [node.name for node in running_nodes(context) if node.core.counters.refutations]
    assert refuted in ([], [f"node-{number}"]), refuted


@then("no running member was ever believed dead")
def none_dead(context: Any) -> None:
    dead = pairs_that_saw(running_nodes(context), MemberState.DEAD)
    assert not dead, dead


@then("membership node {number:d} never believed anybody dead")
def never_believed(context: Any, number: int) -> None:
    dead = pairs_that_saw([node_of(context, number)], MemberState.DEAD)
    assert not dead, dead


@then("no member was ever believed dead within its own region")
def none_dead_in_region(context: Any) -> None:
    def inside(name: str) -> bool:
        return context.network.nodes[name].data_centre in context.region

    dead = pairs_that_saw(running_nodes(context), MemberState.DEAD)
    wrong = {(observer, name) for observer, name in dead if inside(observer) is inside(name)}
    assert not wrong, wrong


@then("no member but node {number:d} was ever believed dead by the others")
def only_cut_node_dead(context: Any, number: int) -> None:
    name = f"node-{number}"
    others = [node for node in running_nodes(context) if node.name != name]
    wrong = {pair for pair in pairs_that_saw(others, MemberState.DEAD) if pair[1] != name}
    assert not wrong, wrong


@then("membership node {number:d} has failed at most {limit:d} probes")
def few_failures(context: Any, number: int, limit: int) -> None:
    failed = node_of(context, number).core.counters.failed_probes
    assert 0 < failed <= limit, failed


@then("membership node {number:d} stays unknown for {seconds:d} seconds")
def stays_unknown(context: Any, number: int, seconds: int) -> None:
    context.network.run(seconds)
    holding = [node.name for node in running_nodes(context) if f"node-{number}" in node.states()]
    assert not holding, holding


@then("membership node {number:d} is not brought back for {seconds:d} seconds")
def not_brought_back(context: Any, number: int, seconds: int) -> None:
    name = f"node-{number}"
    held = {
        node.name
        for node in running_nodes(context)
        if node.states().get(name) is MemberState.DEAD and node.name != name
    }
    assert held, "no node held it as dead"
    context.network.run(seconds)
    back = [
        node.name
        for node in running_nodes(context)
        if node.name in held
        for member in node.core.view.changes[context.marks[node.name] :]
        if member.node == name and member.state is not MemberState.DEAD
    ]
    assert not back, back
    replacement = context.network.nodes.get(f"new-{number}")
    others = [
        node for node in running_nodes(context) if node.name != name and node is not replacement
    ]
    check_state(others, name, "dead")
    if replacement is not None:
        # It may have joined without learning of the node it replaced, and must not add that node.
        assert replacement.states().get(name) in (None, MemberState.DEAD), replacement.states()


@then("membership node {number:d} has been superseded")
def superseded(context: Any, number: int) -> None:
    kinds = [event.kind for event in node_of(context, number).core.events]
    assert EventKind.SUPERSEDED in kinds, kinds


@then("nobody suspected membership node {number:d}")
def nobody_suspected(context: Any, number: int) -> None:
    suspected = pairs_that_saw(running_nodes(context), MemberState.SUSPECT)
    assert not [pair for pair in suspected if pair[1] == f"node-{number}"], suspected
