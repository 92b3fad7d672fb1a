"""Steps for the recipients of bulletins on a change of a server's speed."""

import random
from collections import Counter
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import BulletinRoutes, bulletin_recipients
from marjoramtide.policy.placing._bulletin_routes import BulletinRoute

use_step_matcher("parse")


@given(
    'a fleet of {centres:d} data centres with {desks:d} nodes of "desk" '
    'and {ledgers:d} nodes of "ledger" in each'
)
def given_fleet(context: Any, centres: int, desks: int, ledgers: int) -> None:
    context.members = [
        Member(
            f"{service}-{centre}-{number}", service, "r", centre, "p", "g", "o", MemberState.READY
        )
        for centre in "abcdefgh"[:centres]
        for service, count in (("desk", desks), ("ledger", ledgers))
        for number in range(count)
    ]


def pairs(members: list[Member]) -> list[tuple[Member, Member]]:
    """Return each sender with each of its recipients."""
    return [
        (sender, recipient)
        for sender in members
        for recipient in bulletin_recipients(sender, members)
    ]


def sender_counts(context: Any, service: str, *, near: bool) -> list[int]:
    """Return for each node how many senders of a service it has, itself counted as one."""
    counts = Counter(
        recipient.node
        for sender, recipient in pairs(context.members)
        if sender.service == service and (sender.data_centre == recipient.data_centre) is near
    )
    for member in context.members:
        counts[member.node] += near and member.service == service
    return [counts[member.node] for member in context.members]


@then(
    'each node gets bulletins from {least:d} to {most:d} of "desk" '
    'and all of "ledger" in its own data centre'
)
def near_senders(context: Any, least: int, most: int) -> None:
    desks, ledgers = sender_counts(context, "desk", near=True), sender_counts(
        context, "ledger", near=True
    )
    assert least <= min(desks) and max(desks) <= most, sorted(desks)
    assert set(ledgers) == {5}, sorted(ledgers)


@then(
    'each node gets bulletins from {least:d} to {most:d} of "desk" '
    'and {few:d} to {many:d} of "ledger" elsewhere'
)
def far_senders(context: Any, least: int, most: int, few: int, many: int) -> None:
    desks, ledgers = sender_counts(context, "desk", near=False), sender_counts(
        context, "ledger", near=False
    )
    assert least <= min(desks) and max(desks) <= most, sorted(desks)
    assert few <= min(ledgers) and max(ledgers) <= many, sorted(ledgers)


@then("no node gets bulletins from more than {most:d} nodes")
def sender_limit(context: Any, most: int) -> None:
    counts = Counter(recipient.node for _, recipient in pairs(context.members))
    assert max(counts.values()) <= most, counts.most_common(3)


@when('a node of "desk" leaves')
def node_leaves(context: Any) -> None:
    context.before = {(sender.node, recipient.node) for sender, recipient in pairs(context.members)}
    context.members = [each for each in context.members if each.node != "desk-b-3"]


@then("{share:d} in {of:d} of all pairs of sender and recipient stay as they were")
def pairs_stay(context: Any, share: int, of: int) -> None:
    after = {(sender.node, recipient.node) for sender, recipient in pairs(context.members)}
    kept = len(after & context.before) / len(context.before)
    assert kept * of >= share, kept


def route(context: Any, own: Member) -> BulletinRoute:
    return BulletinRoutes(random.Random(own.node)).route(own, context.members)


@then("a bulletin of each node is sent to each other data centre once")
def crosses_once(context: Any) -> None:
    for own in context.members:
        found = route(context, own)
        crossed = Counter(each.data_centre for each in (*found.recipients, *found.relays))
        del crossed[own.data_centre]
        assert set(crossed.values()) == {1} and len(crossed) == 2, crossed


@then("with what the relays forward it reaches each recipient exactly once")
def reaches_each_once(context: Any) -> None:
    for own in context.members:
        found = route(context, own)
        reached = Counter(each.node for each in (*found.recipients, *found.relays))
        for relay in found.relays:
            routes = BulletinRoutes(random.Random(1))
            reached.update(
                each.node for each in routes.relay_recipients(own, relay, context.members)
            )
        assert set(reached) == {each.node for each in bulletin_recipients(own, context.members)}
        assert set(reached.values()) == {1}, reached


@then("no bulletin is relayed")
def nothing_relayed(context: Any) -> None:
    assert not any(route(context, own).relays for own in context.members)


@then("each node gets the bulletins of all others")
def all_senders(context: Any) -> None:
    assert len(pairs(context.members)) == len(context.members) * (len(context.members) - 1)
