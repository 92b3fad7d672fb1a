"""Steps for membership on an in-memory network."""

from typing import Any

from behave import given, then, when

from features.gossip_scenarios import node_of, running_nodes, start_nodes
from marjoramtide.membership import MemberState, SwimOptions
from standins.gossip_network import Network


@given("a membership network with seed {seed:d} and {count:d} nodes")
def start_network(context: Any, seed: int, count: int) -> None:
    start_nodes(context, seed, count, SwimOptions())


@given(
    "a membership network with seed {seed:d} and {count:d} nodes that forget after {age:d} seconds"
)
def start_forgetful_network(context: Any, seed: int, count: int, age: int) -> None:
    start_nodes(context, seed, count, SwimOptions(dead_retention_s=age))


@given("two more nodes, of which the second finds the first before it looks for the others")
def found_first(context: Any) -> None:
    network = context.network
    first = network.start_node("node-2")
    second = network.start_node("node-3")
    second.core.add_seeds([first.address])
    for finder, found in ((second, first), (first, second)):
        finder.core.ping_address(found.address)
        network.inject(finder.core.drain()[0][1], finder.address, found)


@given(
    "{count:d} membership nodes that come up within {window_ms:d} ms and know the addresses of all"
)
def come_up(context: Any, count: int, window_ms: int) -> None:
    """Start the nodes one after another; datagrams to those that aren't up yet are lost."""
    context.network = network = Network(41)
    addresses = [f"10.0.9.{number + 1}:7100" for number in range(count)]
    for number, address in enumerate(addresses):
        node = network.start_node(f"node-{number}", address=address)
        node.core.add_seeds(addresses)
        network.run(window_ms / 1000 / count)


@when("{seconds:d} seconds of membership pass")
@when("{seconds:d} second of membership pass")
def pass_time(context: Any, seconds: int) -> None:
    context.network.run(seconds)


@when("membership node {number:d} crashes")
def crash(context: Any, number: int) -> None:
    node_of(context, number).running = False


@when("membership node {number:d} starts draining")
def start_draining(context: Any, number: int) -> None:
    node = node_of(context, number)
    node.core.set_state(MemberState.DRAINING)
    context.network.flush(node)


@when("every node puts settings revision {revision:d} in force")
def put_in_force(context: Any, revision: int) -> None:
    for node in running_nodes(context):
        node.core.set_settings(revision, f"digest of {revision}")
        context.network.flush(node)


@when("membership node {reporter:d} reports a refused connection to node {target:d}")
def report(context: Any, reporter: int, target: int) -> None:
    node = node_of(context, reporter)
    node.core.report_failure(f"node-{target}")
    context.network.flush(node)


@when("membership traffic is counted for {seconds:d} seconds")
def count_traffic(context: Any, seconds: int) -> None:
    before = {node.name: node.core.counters.sent_bytes for node in running_nodes(context)}
    context.network.run(seconds)
    context.rates = {
        node.name: (node.core.counters.sent_bytes - before[node.name]) / seconds
        for node in running_nodes(context)
    }


@when("membership node {number:d} leaves")
def leave(context: Any, number: int) -> None:
    node = node_of(context, number)
    node.core.leave()
    context.network.flush(node)
    node.running = False


@then("no node sent more than {limit:d} bytes a second")
def bounded_traffic(context: Any, limit: int) -> None:
    assert max(context.rates.values()) <= limit, max(context.rates.values())
