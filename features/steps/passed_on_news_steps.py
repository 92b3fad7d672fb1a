"""Steps on news that one member passes on to others."""

import asyncio
from collections import defaultdict
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.membership_service_steps import run, wait_for
from marjoramtide.membership import Member

use_step_matcher("parse")

NEWS = ["some news"]


@given("membership service {number:d} passes news on to membership service {other:d}")
def given_relay(context: Any, number: int, other: int) -> None:
    context.disseminator = defaultdict(list)
    for place, service in enumerate(context.services):

        def hear(member: Member, fields: list[Any], place: int = place) -> None:
            context.disseminator[place].append((member.node, fields))

        service.on_bulletin(hear)
    reader = context.services[other].self_member
    context.services[number].relay_targets = lambda teller: [reader]


@when("membership service {number:d} publishes news by way of membership service {relay:d}")
def when_published(context: Any, number: int, relay: int) -> None:
    async def publish() -> None:
        relays = [context.services[relay].self_member]
        context.services[number].publish(NEWS, [], relays)

    run(context, publish())


@when("membership service {number:d} sends the datagram to membership service {relay:d} again")
def when_again(context: Any, number: int, relay: int) -> None:
    async def send() -> None:
        teller, other = context.services[0], context.services[number]
        sender = teller.core.own.key
        data = teller.bulletin_codec.as_relay_request(teller.bulletin_codec.encode(sender, NEWS))
        other._send(context.services[relay].self_member.gossip_address, data)
        await asyncio.sleep(0)

    run(context, send())


@then(
    "within {seconds:d} seconds membership services {relay:d} and {reader:d} have heard it once, "
    "from membership service {teller:d}"
)
def then_heard(context: Any, seconds: int, relay: int, reader: int, teller: int) -> None:
    heard = [(context.services[teller].self_member.node, NEWS)]
    places = (relay, reader)
    wait_for(context, lambda: all(context.disseminator[place] for place in places), seconds)
    assert all(context.disseminator[place] == heard for place in places), context.disseminator


@then("membership service {number:d} has heard it once")
def then_once(context: Any, number: int) -> None:
    assert len(context.disseminator[number]) == 1, context.disseminator
