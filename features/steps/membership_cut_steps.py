"""Steps that partition, stop and replace members of an in-memory network."""

import random
from typing import Any

from behave import given, then, when

from features.gossip_scenarios import mark_changes, node_of, replace_node, running_nodes


@given("one in {share:d} membership datagrams is lost")
def lose_some(context: Any, share: int) -> None:
    context.network.loss = 1 / share


@when("membership node {number:d} loses nine in ten of the datagrams sent to it")
def lose_incoming(context: Any, number: int) -> None:
    target, rng = node_of(context, number), random.Random(number)
    context.network.is_blocked = lambda sender, receiver: receiver is target and rng.random() < 0.9


@when('the data centre "{data_centre}" is lost')
def lose_data_centre(context: Any, data_centre: str) -> None:
    for node in running_nodes(context):
        node.running = node.data_centre != data_centre


@when('the region of "{names}" is partitioned from the rest')
def partition_region(context: Any, names: str) -> None:
    context.region = set(names.split(", "))
    context.network.is_blocked = lambda sender, receiver: (
        (sender.data_centre in context.region) != (receiver.data_centre in context.region)
    )


@when("membership node {number:d} is partitioned from the rest")
def partition_node(context: Any, number: int) -> None:
    node = node_of(context, number)
    context.network.is_blocked = lambda sender, receiver: node in (sender, receiver)


@when("the partition heals")
def heal(context: Any) -> None:
    context.network.is_blocked = lambda sender, receiver: False
    mark_changes(context)


@when("membership node {number:d} is frozen for {seconds:d} seconds")
@when("membership node {number:d} is frozen for {seconds:d} second")
def freeze(context: Any, number: int, seconds: int) -> None:
    node_of(context, number).frozen = True
    context.network.run(seconds)


@when("membership node {number:d} freezes with a full socket")
def freeze_with_full_socket(context: Any, number: int) -> None:
    frozen = node_of(context, number)
    frozen.frozen = True
    context.network.is_blocked = lambda sender, receiver: receiver is frozen and frozen.frozen


@when(
    "membership node {number:d} probes all others, is busy for {seconds:d} seconds"
    " and its timers fire first"
)
def stall(context: Any, number: int, seconds: int) -> None:
    network, node = context.network, node_of(context, number)
    for entry in node.core.view.live():
        if entry is not node.core.own:
            node.core.detector.probe(entry, network.clock.now)
    network.flush(node)
    freeze(context, number, seconds)
    node.core.tick(network.clock.monotonic(), network.clock.wall())
    network.flush(node)
    network.thaw(node)


@then("membership node {number:d} has failed no probe")
def no_failed_probe(context: Any, number: int) -> None:
    assert node_of(context, number).core.counters.failed_probes == 0


@when("the path between membership nodes {one:d} and {other:d} breaks")
def break_path(context: Any, one: int, other: int) -> None:
    ends = {f"node-{one}", f"node-{other}"}
    context.network.is_blocked = lambda sender, receiver: {sender.name, receiver.name} == ends


@when("membership node {number:d} resumes")
def resume(context: Any, number: int) -> None:
    mark_changes(context)
    context.network.thaw(node_of(context, number))


@when("membership node {number:d} resumes with its address back")
def resume_with_address(context: Any, number: int) -> None:
    node = node_of(context, number)
    context.network.nodes_by_address[node.address] = node
    resume(context, number)


@when("membership node {number:d} is replaced under its address")
def replace(context: Any, number: int) -> None:
    replace_node(context, number, 0)


@when(
    "membership node {number:d} is replaced under its address"
    " with a clock {seconds:d} seconds behind"
)
def replace_behind(context: Any, number: int, seconds: int) -> None:
    replace_node(context, number, -seconds)


@when("a process starts at the address of membership node {number:d} and knows nobody")
def start_without_seeds(context: Any, number: int) -> None:
    replace_node(context, number, 0)
    context.network.nodes[f"new-{number}"].core.add_seeds([])
