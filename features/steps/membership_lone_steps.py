"""Steps for a single membership core."""

from typing import Any

from behave import given, then, when

from marjoramtide.membership._packet import AppliedSettings
from standins.gossip_network import Network


@given("a lone membership core that knows {count:d} members")
def lone_core(context: Any, count: int) -> None:
    network = Network(41)
    context.lone = network.start_node("lone", address="10.200.0.1:7100").core
    for number in range(count):
        name = f"an-instance-with-a-long-name-in-navrangpura-{number}~0123456789ab"
        address = f"10.100.{number // 250}.{number % 250 + 1}:65535"
        member = network.start_node(name, address=address, service="claims-ledger").core.own
        context.lone.view.add(member.member, member.status(), network.clock.now)


@when("it has updates about all of them and ticks for {seconds:d} seconds")
def tick_alone(context: Any, seconds: int) -> None:
    core = context.lone
    core.is_catching_up = False
    for entry in core.view.live():
        settings = AppliedSettings(2**40 + entry.key % 3, "f" * 64)
        core.view.merge_settings(entry.key, settings, 0.0)
        core.disseminator.revisions.put(entry.key)
        core.disseminator.statuses.put(entry.key, entry.key)
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
