"""Steps that check the views of members."""

from typing import Any

from behave import then

from features.gossip_scenarios import check_members, check_state, node_of, running_nodes


@then("every node knows all {count:d} within {limit_ms:d} ms")
def all_known(context: Any, count: int, limit_ms: int) -> None:
    def complete() -> bool:
        return all(len(node.states()) == count for node in running_nodes(context))

    took = context.network.run_until(complete, 3.0)
    assert took * 1000 <= limit_ms, took


@then("every running node holds the same {count:d} members")
def same_members(context: Any, count: int) -> None:
    check_members(running_nodes(context), count)


@then("the members within each region hold exactly their own region")
def own_region(context: Any) -> None:
    for inside in (True, False):
        nodes = [n for n in running_nodes(context) if (n.data_centre in context.region) is inside]
        check_members(nodes, len(nodes))


@then('every running node sees membership node {number:d} as "{state}"')
def seen_as(context: Any, number: int, state: str) -> None:
    check_state(running_nodes(context), f"node-{number}", state)


@then('every other running node sees membership node {number:d} as "{state}"')
def seen_by_others_as(context: Any, number: int, state: str) -> None:
    others = [node for node in running_nodes(context) if node.name != f"node-{number}"]
    check_state(others, f"node-{number}", state)


@then('membership node {observer:d} sees membership node {number:d} as "{state}"')
def one_sees_as(context: Any, observer: int, number: int, state: str) -> None:
    check_state([node_of(context, observer)], f"node-{number}", state)


@then("no running node holds membership node {number:d} as alive")
def not_alive(context: Any, number: int) -> None:
    seen = {node.name: node.states().get(f"node-{number}") for node in running_nodes(context)}
    wrong = {name: state for name, state in seen.items() if state not in (None, "dead")}
    assert not wrong, wrong


@then('membership node {number:d} sees itself as "{state}"')
def sees_itself(context: Any, number: int, state: str) -> None:
    check_state([node_of(context, number)], f"node-{number}", state)


@then('every running node sees the replacement of node {number:d} as "{state}"')
def replacement_seen(context: Any, number: int, state: str) -> None:
    check_state(running_nodes(context), f"new-{number}", state)


@then('every other running node sees the replacement of node {number:d} as "{state}"')
def replacement_seen_by_others(context: Any, number: int, state: str) -> None:
    others = [node for node in running_nodes(context) if node.name != f"node-{number}"]
    check_state(others, f"new-{number}", state)


@then("every running node knows of all that they have revision {revision:d}")
def revision_known(context: Any, revision: int) -> None:
    missing = [
        (node.name, member.node)
        for node in running_nodes(context)
        for member in node.core.view.members()
        if member.revision != revision or member.digest != f"digest of {revision}"
    ]
    assert not missing, missing


@then("membership node {number:d} is not offered for its service")
def not_offered(context: Any, number: int) -> None:
    member = node_of(context, number).core.own.member
    offering = [
        node.name
        for node in running_nodes(context)
        if member.node in [found.node for found in node.core.view.members_of(member.service)]
    ]
    assert not offering, offering
