"""Steps for nodes that are partitioned, frozen or replaced while the settings change."""

from typing import Any

import attrs
from behave import given, when

from features.settings_scenarios import (
    make_request,
    running_nodes,
    set_slots,
    submit_change,
    wait_until,
)
from marjoramtide.membership import MemberState


@given("the settings node {name} is cut off from all")
def given_cut_off(context: Any, name: str) -> None:
    if name not in context.fleet.nodes:
        context.fleet.add(name)
    node = context.fleet.nodes[name]
    node.is_store_cut_off, node.partition = True, 99
    if not node.task:
        context.fleet.start(node)


@given("the settings node {name} is cut off from its peers")
def given_peers_cut(context: Any, name: str) -> None:
    context.fleet.nodes[name].partition = 99


@when("the settings node {name} is reconnected")
def when_reached(context: Any, name: str) -> None:
    node = context.fleet.nodes[name]
    node.is_store_cut_off, node.partition = False, 0


@given("region {region} is cut off from the store and the rest")
@when("region {region} is cut off from the store and the rest")
def given_region_cut(context: Any, region: str) -> None:
    for node in running_nodes(context):
        if node.member.region == region:
            node.is_store_cut_off, node.partition = True, 7


@when("region {region} is healed")
def when_region_healed(context: Any, region: str) -> None:
    for node in running_nodes(context):
        node.is_store_cut_off, node.partition = False, 0


@given("the settings node {name} is frozen")
def given_frozen(context: Any, name: str) -> None:
    context.fleet.nodes[name].running.clear()


@given("the settings node {name} is found dead")
def given_found_dead(context: Any, name: str) -> None:
    for other in running_nodes(context):
        found = other.known.pop(name, None)
        for listener in other.listeners if found else ():
            listener(attrs.evolve(found, state=MemberState.DEAD))


@given("the settings nodes {names} are frozen")
def given_nodes_frozen(context: Any, names: str) -> None:
    for name in names.split(", "):
        context.fleet.nodes[name].running.clear()


@given("the settings node {name} is frozen for {seconds:g} s right after it asked")
def given_frozen_after(context: Any, name: str, seconds: float) -> None:
    node = context.fleet.nodes[name]
    asked_at = node.service.view.freshness.caught_up_at
    wait_until(context, 9, lambda: node.service.view.freshness.caught_up_at > asked_at)
    node.running.clear()
    context.fleet.pass_time(seconds)


@given("the settings node {name} is frozen while a peer's answer is on its way")
def given_frozen_mid_answer(context: Any, name: str) -> None:
    node = context.fleet.nodes[name]
    node.freezes_on_response = True
    wait_until(context, 9, lambda: node.is_frozen)


@given(
    "the settings node {name} freezes just before its next tree write, until b changed the branch"
)
def given_freezes_before_write(context: Any, name: str) -> None:
    frozen, other = context.fleet.nodes[name], context.fleet.nodes["b"]

    async def hook() -> None:
        frozen.running.clear()
        request = make_request(context, other, set_slots("/services/mapdesk", 12), insist=True)
        await submit_change(context, other, request)
        frozen.running.set()

    context.fleet.store.before_write = hook


@given("every settings node is frozen")
def given_all_frozen(context: Any) -> None:
    for node in running_nodes(context):
        node.running.clear()


@when("every settings node resumes")
def when_all_wake(context: Any) -> None:
    for node in running_nodes(context):
        node.running.set()


@when("the settings node {name} resumes")
def when_wakes(context: Any, name: str) -> None:
    context.fleet.nodes[name].running.set()


@when("the settings node {name} resumes cut off from all")
def when_wakes_cut(context: Any, name: str) -> None:
    node = context.fleet.nodes[name]
    node.is_store_cut_off, node.partition = True, 99
    node.running.set()


@when("the settings node {name} is replaced while gossip is late and {count:d} reads are stale")
def when_replaced(context: Any, name: str, count: int) -> None:
    """The new process knows the other members, but not yet their revisions."""
    context.fleet.stop(context.fleet.nodes[name])
    node = context.fleet.add(name)
    others = [other.member for other in running_nodes(context) if other is not node]
    node.known = {member.node: attrs.evolve(member, revision=0) for member in others}
    context.fleet.gossips = False
    context.fleet.store.stale_reads = count
    context.fleet.start(node)
