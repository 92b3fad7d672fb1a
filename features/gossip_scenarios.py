"""Helpers for membership scenarios on an in-memory network."""

from typing import Any

from marjoramtide.membership import MemberState, SwimOptions
from standins.gossip_network import Network, Node

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall", "navrangpura", "sanand")


def running_nodes(context: Any) -> list[Node]:
    return [node for node in context.network.nodes.values() if node.running]


def node_of(context: Any, number: int) -> Node:
    return context.network.nodes[f"node-{number}"]


def pairs_that_saw(observers: list[Node], state: MemberState) -> set[tuple[str, str]]:
    """Return the pairs of observer and member where the observer has ever seen this state."""
    return {
        (node.name, member.node)
        for node in observers
        for member in node.core.view.changes
        if member.state is state and member.node != node.name
    }


def check_state(observers: list[Node], name: str, state: str) -> None:
    seen = {node.name: node.states().get(name) for node in observers}
    wrong = {observer: found for observer, found in seen.items() if found != state}
    assert not wrong, wrong


def start_nodes(context: Any, seed: int, count: int, options: SwimOptions) -> None:
    context.network = Network(seed, options)
    for number in range(count):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        context.network.start_node(f"node-{number}", data_centre=data_centre)


def mark_changes(context: Any) -> None:
    """Note how many changes each node has seen, to check later ones on their own."""
    context.marks = {node.name: len(node.core.view.changes) for node in running_nodes(context)}


def replace_node(context: Any, number: int, clock_offset_s: int) -> None:
    network, old = context.network, node_of(context, number)
    old.running = old.frozen
    wall = network.clock.wall() + clock_offset_s
    network.start_node(
        f"new-{number}",
        address=old.address,
        data_centre=old.data_centre,
        incarnation=int(wall * 1000),
    )


def check_members(nodes: list[Node], count: int) -> None:
    held = {node.name: sorted(member.node for member in node.core.view.members()) for node in nodes}
    wrong = {name: len(found) for name, found in held.items() if len(found) != count}
    assert not wrong, f"members held: {wrong}"
    assert len({tuple(found) for found in held.values()}) == 1
