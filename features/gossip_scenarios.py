"""What the scenarios of membership over a network in memory share."""

from typing import Any

from marjoramtide.membership import MemberState, SwimOptions
from standins.gossip_network import Network, Node

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall", "navrangpura", "sanand")


def running(context: Any) -> list[Node]:
    return [node for node in context.network.nodes.values() if node.running]


def node_of(context: Any, number: int) -> Node:
    return context.network.nodes[f"node-{number}"]


def believed(observers: list[Node], state: MemberState) -> set[tuple[str, str]]:
    """Return pairs of observer and member for every time a state was believed."""
    return {
        (node.name, member.node)
        for node in observers
        for member in node.core.view.changes
        if member.state is state and member.node != node.name
    }


def check_seen(observers: list[Node], name: str, state: str) -> None:
    seen = {node.name: node.states().get(name) for node in observers}
    wrong = {observer: found for observer, found in seen.items() if found != state}
    assert not wrong, wrong


def start_nodes(context: Any, seed: int, count: int, options: SwimOptions) -> None:
    context.network = Network(seed, options)
    for number in range(count):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        context.network.start_node(f"node-{number}", data_centre=data_centre)


def mark(context: Any) -> None:
    """Remember how much each node had seen change, for checks of what changed since."""
    context.marks = {node.name: len(node.core.view.changes) for node in running(context)}


def replace_with_clock(context: Any, number: int, seconds: int) -> None:
    network, old = context.network, node_of(context, number)
    old.running = old.frozen
    wall = network.clock.wall() + seconds
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
