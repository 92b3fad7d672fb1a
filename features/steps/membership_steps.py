"""Steps of membership over a network in memory."""

import random
from typing import Any

from behave import given, then, when

from marjoramtide.membership import (
    EventKind,
    MemberState,
    SwimOptions,
)
from marjoramtide.membership._packet import AppliedSettings
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


@given("a membership network with seed {seed:d} and {count:d} nodes")
def start_network(context: Any, seed: int, count: int) -> None:
    start_nodes(context, seed, count, SwimOptions())


@given(
    "a membership network with seed {seed:d} and {count:d} nodes that forget after {age:d} seconds"
)
def start_forgetful_network(context: Any, seed: int, count: int, age: int) -> None:
    start_nodes(context, seed, count, SwimOptions(forget_s=age))


@given("two more nodes, of which the second finds the first before it looks for the others")
def found_first(context: Any) -> None:
    network = context.network
    first = network.start_node("node-2")
    second = network.start_node("node-3")
    second.core.add_seeds([first.address])
    for finder, found in ((second, first), (first, second)):
        finder.core.try_address(found.address)
        network.inject(finder.core.drain()[0][1], finder.address, found)


@given(
    "{count:d} membership nodes that come up within {window_ms:d} ms and know the addresses of all"
)
def come_up(context: Any, count: int, window_ms: int) -> None:
    """Start them one after the other; datagrams to those that aren't up yet are lost."""
    context.network = network = Network(41)
    addresses = [f"10.0.9.{number + 1}:7100" for number in range(count)]
    for number, address in enumerate(addresses):
        node = network.start_node(f"node-{number}", address=address)
        node.core.add_seeds(addresses)
        network.run(window_ms / 1000 / count)


@then("every node knows all {count:d} within {limit_ms:d} ms")
def all_known(context: Any, count: int, limit_ms: int) -> None:
    def complete() -> bool:
        return all(len(node.states()) == count for node in running(context))

    took = context.network.run_until(complete, 3.0)
    assert took * 1000 <= limit_ms, took


@given("one in {share:d} membership datagrams is lost")
def lose_some(context: Any, share: int) -> None:
    context.network.loss = 1 / share


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


@when("every node puts settings revision {revision:d} in force")
def put_in_force(context: Any, revision: int) -> None:
    for node in running(context):
        node.core.set_settings(revision, f"digest of {revision}")
        context.network.flush(node)


@when("membership node {number:d} loses nine in ten of the datagrams sent to it")
def deafen(context: Any, number: int) -> None:
    deaf, rng = node_of(context, number), random.Random(number)
    context.network.blocked = lambda sender, receiver: receiver is deaf and rng.random() < 0.9


@when("membership node {reporter:d} reports a refused connection to node {target:d}")
def report(context: Any, reporter: int, target: int) -> None:
    node = node_of(context, reporter)
    node.core.report_failure(f"node-{target}")
    context.network.flush(node)


@when('the data centre "{data_centre}" is lost')
def lose_data_centre(context: Any, data_centre: str) -> None:
    for node in running(context):
        node.running = node.data_centre != data_centre


@when("membership traffic is counted for {seconds:d} seconds")
def count_traffic(context: Any, seconds: int) -> None:
    before = {node.name: node.core.counters.sent_bytes for node in running(context)}
    context.network.run(seconds)
    context.rates = {
        node.name: (node.core.counters.sent_bytes - before[node.name]) / seconds
        for node in running(context)
    }


@when('the region of "{names}" is cut off')
def cut_region(context: Any, names: str) -> None:
    context.region = set(names.split(", "))
    context.network.blocked = lambda sender, receiver: (
        (sender.data_centre in context.region) != (receiver.data_centre in context.region)
    )


@when("membership node {number:d} is cut off")
def cut_node(context: Any, number: int) -> None:
    cut = node_of(context, number)
    context.network.blocked = lambda sender, receiver: cut in (sender, receiver)


@when("the cut heals")
def heal(context: Any) -> None:
    context.network.blocked = lambda sender, receiver: False
    mark(context)


def mark(context: Any) -> None:
    """Remember how much each node had seen change, for checks of what changed since."""
    context.marks = {node.name: len(node.core.view.changes) for node in running(context)}


@when("membership node {number:d} is frozen for {seconds:d} seconds")
@when("membership node {number:d} is frozen for {seconds:d} second")
def freeze(context: Any, number: int, seconds: int) -> None:
    node_of(context, number).frozen = True
    context.network.run(seconds)


@when("membership node {number:d} freezes with a full socket")
def freeze_deaf(context: Any, number: int) -> None:
    frozen = node_of(context, number)
    frozen.frozen = True
    context.network.blocked = lambda sender, receiver: receiver is frozen and frozen.frozen


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
    context.network.blocked = lambda sender, receiver: {sender.name, receiver.name} == ends


@when("membership node {number:d} thaws")
def thaw(context: Any, number: int) -> None:
    mark(context)
    context.network.thaw(node_of(context, number))


@when("membership node {number:d} thaws and has its address back")
def thaw_with_address(context: Any, number: int) -> None:
    node = node_of(context, number)
    context.network.by_address[node.address] = node
    thaw(context, number)


@when("membership node {number:d} is replaced under its address")
def replace(context: Any, number: int) -> None:
    replace_with_clock(context, number, 0)


@when(
    "membership node {number:d} is replaced under its address"
    " with a clock {seconds:d} seconds behind"
)
def replace_behind(context: Any, number: int, seconds: int) -> None:
    replace_with_clock(context, number, -seconds)


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


@when("a process starts at the address of membership node {number:d} and knows nobody")
def start_lonely(context: Any, number: int) -> None:
    replace_with_clock(context, number, 0)
    context.network.nodes[f"new-{number}"].core.add_seeds([])


@when("membership node {number:d} leaves")
def leave(context: Any, number: int) -> None:
    node = node_of(context, number)
    node.core.leave()
    context.network.flush(node)
    node.running = False


@then("every running node holds the same {count:d} members")
def same_members(context: Any, count: int) -> None:
    check_members(running(context), count)


def check_members(nodes: list[Node], count: int) -> None:
    held = {node.name: sorted(member.node for member in node.core.view.members()) for node in nodes}
    wrong = {name: len(found) for name, found in held.items() if len(found) != count}
    assert not wrong, f"members held: {wrong}"
    assert len({tuple(found) for found in held.values()}) == 1


@then("the members within each region hold exactly their own region")
def own_region(context: Any) -> None:
    for inside in (True, False):
        nodes = [n for n in running(context) if (n.data_centre in context.region) is inside]
        check_members(nodes, len(nodes))


@then('every running node sees membership node {number:d} as "{state}"')
def seen_as(context: Any, number: int, state: str) -> None:
    check_seen(running(context), f"node-{number}", state)


@then('every other running node sees membership node {number:d} as "{state}"')
def seen_by_others_as(context: Any, number: int, state: str) -> None:
    others = [node for node in running(context) if node.name != f"node-{number}"]
    check_seen(others, f"node-{number}", state)


@then('membership node {observer:d} sees membership node {number:d} as "{state}"')
def one_sees_as(context: Any, observer: int, number: int, state: str) -> None:
    check_seen([node_of(context, observer)], f"node-{number}", state)


@then("no running node holds membership node {number:d} as alive")
def not_alive(context: Any, number: int) -> None:
    seen = {node.name: node.states().get(f"node-{number}") for node in running(context)}
    wrong = {name: state for name, state in seen.items() if state not in (None, "dead")}
    assert not wrong, wrong


@then('membership node {number:d} sees itself as "{state}"')
def sees_itself(context: Any, number: int, state: str) -> None:
    check_seen([node_of(context, number)], f"node-{number}", state)


@then('every running node sees the replacement of node {number:d} as "{state}"')
def replacement_seen(context: Any, number: int, state: str) -> None:
    check_seen(running(context), f"new-{number}", state)


@then('every other running node sees the replacement of node {number:d} as "{state}"')
def replacement_seen_by_others(context: Any, number: int, state: str) -> None:
    others = [node for node in running(context) if node.name != f"node-{number}"]
    check_seen(others, f"new-{number}", state)


@then("every running node knows of all that they have revision {revision:d}")
def revision_known(context: Any, revision: int) -> None:
    missing = [
        (node.name, member.node)
        for node in running(context)
        for member in node.core.view.members()
        if member.revision != revision or member.digest != f"digest of {revision}"
    ]
    assert not missing, missing


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


@then("only membership node {number:d} had to refute anything")
def one_refuted(context: Any, number: int) -> None:
    refuted = [node.name for node in running(context) if node.core.counters.refutations]
    assert refuted in ([], [f"node-{number}"]), refuted


@then("no running member was ever believed dead")
def none_dead(context: Any) -> None:
    dead = believed(running(context), MemberState.DEAD)
    assert not dead, dead


@then("membership node {number:d} never believed anybody dead")
def never_believed(context: Any, number: int) -> None:
    dead = believed([node_of(context, number)], MemberState.DEAD)
    assert not dead, dead


@then("no member was ever believed dead within its own region")
def none_dead_in_region(context: Any) -> None:
    def inside(name: str) -> bool:
        return context.network.nodes[name].data_centre in context.region

    dead = believed(running(context), MemberState.DEAD)
    wrong = {(observer, name) for observer, name in dead if inside(observer) is inside(name)}
    assert not wrong, wrong


@then("no member but node {number:d} was ever believed dead by the others")
def only_cut_node_dead(context: Any, number: int) -> None:
    name = f"node-{number}"
    others = [node for node in running(context) if node.name != name]
    wrong = {pair for pair in believed(others, MemberState.DEAD) if pair[1] != name}
    assert not wrong, wrong


@then("membership node {number:d} has failed at most {limit:d} probes")
def few_failures(context: Any, number: int, limit: int) -> None:
    failed = node_of(context, number).core.counters.failed_probes
    assert 0 < failed <= limit, failed


@then("no node sent more than {limit:d} bytes a second")
def bounded_traffic(context: Any, limit: int) -> None:
    assert max(context.rates.values()) <= limit, max(context.rates.values())


@then("membership node {number:d} stays unknown for {seconds:d} seconds")
def stays_unknown(context: Any, number: int, seconds: int) -> None:
    context.network.run(seconds)
    holding = [node.name for node in running(context) if f"node-{number}" in node.states()]
    assert not holding, holding


@then("membership node {number:d} is not brought back for {seconds:d} seconds")
def not_brought_back(context: Any, number: int, seconds: int) -> None:
    name = f"node-{number}"
    held = {
        node.name
        for node in running(context)
        if node.states().get(name) is MemberState.DEAD and node.name != name
    }
    assert held, "nobody held it as dead"
    context.network.run(seconds)
    back = [
        node.name
        for node in running(context)
        if node.name in held
        for member in node.core.view.changes[context.marks[node.name] :]
        if member.node == name and member.state is not MemberState.DEAD
    ]
    assert not back, back
    replacement = context.network.nodes.get(f"new-{number}")
    others = [node for node in running(context) if node.name != name and node is not replacement]
    check_seen(others, name, "dead")
    if replacement is not None:
        # It may have joined without hearing of whom it replaced; taking that one in would be wrong.
        assert replacement.states().get(name) in (None, MemberState.DEAD), replacement.states()


@then("membership node {number:d} has stood down")
def stood_down(context: Any, number: int) -> None:
    kinds = [event.kind for event in node_of(context, number).core.events]
    assert EventKind.SUPERSEDED in kinds, kinds


@then("nobody suspected membership node {number:d}")
def nobody_suspected(context: Any, number: int) -> None:
    suspected = believed(running(context), MemberState.SUSPECT)
    assert not [pair for pair in suspected if pair[1] == f"node-{number}"], suspected


# One core by itself


@given("a lone membership core that knows {count:d} members")
def lone_core(context: Any, count: int) -> None:
    network = Network(41)
    context.lone = network.start_node("lone", address="10.200.0.1:7100").core
    for number in range(count):
        name = f"an-instance-with-a-long-name-in-navrangpura-{number}~0123456789ab"
        address = f"10.100.{number // 250}.{number % 250 + 1}:65535"
        member = network.start_node(name, address=address, service="claims-ledger").core.own
        context.lone.view.add(member.member, member.status(), network.clock.now)


@when("it has news of all of them and ticks for {seconds:d} seconds")
def tick_alone(context: Any, seconds: int) -> None:
    core = context.lone
    core.learning = False
    for entry in core.view.live():
        settings = AppliedSettings(2**40 + entry.key % 3, "f" * 64)
        core.view.merge_settings(entry.key, settings, 0.0)
        core.news.revisions.put(entry.key)
        core.news.statuses.put(entry.key, entry.key)
    context.sizes = []
    for tick in range(10 * seconds):
        core.tick(2000 + tick / 10, 2000 + tick / 10)
        context.sizes += [len(data) for _, data in core.drain()]


@then("it has sent at most {limit:d} bytes")
def sent_at_most(context: Any, limit: int) -> None:
    assert 0 < sum(context.sizes) <= limit, sum(context.sizes)


@then("none of its datagrams was larger than {limit:d} bytes")
def bounded_datagrams(context: Any, limit: int) -> None:
    assert max(context.sizes) <= limit, max(context.sizes)
