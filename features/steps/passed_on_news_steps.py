"""Steps for bulletins that one member relays to others."""

import asyncio
from collections import defaultdict
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.membership_service_steps import run, wait_for
from marjoramtide.membership import Member

use_step_matcher("parse")

FIELDS = ["a field"]


@given("membership service {number:d} relays bulletins to membership service {other:d}")
def given_relay(context: Any, number: int, other: int) -> None:
    context.received = defaultdict(list)
    for index, service in enumerate(context.services):

        def receive(member: Member, fields: list[Any], index: int = index) -> None:
            context.received[index].append((member.node, fields))

        service.on_bulletin(receive)
    reader = context.services[other].self_member
    context.services[number].relay_targets = lambda sender: [reader]


@when("membership service {number:d} publishes a bulletin through membership service {relay:d}")
def when_published(context: Any, number: int, relay: int) -> None:
    async def publish() -> None:
        relays = [context.services[relay].self_member]
        context.services[number].publish(FIELDS, [], relays)

    run(context, publish())


@when("membership service {number:d} sends the datagram to membership service {relay:d} again")
def when_again(context: Any, number: int, relay: int) -> None:
    async def send() -> None:
        sender, other = context.services[0], context.services[number]
        sender_key = sender.core.own.key
        data = sender.bulletin_codec.as_relay_request(
            sender.bulletin_codec.encode(sender_key, FIELDS)
        )
        other._send(context.services[relay].self_member.gossip_address, data)
        await asyncio.sleep(0)

    run(context, send())


@then(
    "within {seconds:d} seconds membership services {relay:d} and {reader:d} have received it "
    "once, from membership service {sender:d}"
)
def then_heard(context: Any, seconds: int, relay: int, reader: int, sender: int) -> None:
    expected = [(context.services[sender].self_member.node, FIELDS)]
    indexes = (relay, reader)
    wait_for(context, lambda: all(context.received[index] for index in indexes), seconds)
    assert all(context.received[index] == expected for index in indexes), context.received


@then("membership service {number:d} has received it once")
def then_once(context: Any, number: int) -> None:
    assert len(context.received[number]) == 1, context.received
