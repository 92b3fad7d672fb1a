"""Steps for nodes and a client of a store that is restored from a copy."""

import asyncio
import time
from typing import Any

from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import PlatformFleet, route
from features.steps.platform_evacuation_steps import add_nodes
from features.steps.platform_node_steps import run, start_fleet
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.platform._store_protocol import PlatformStoreProtocol
from marjoramtide.store import HttpObjectStore, open_object_store

use_step_matcher("parse")

POLL_S = 0.02


@given("an empty store on the platform of which a copy is kept")
def given_empty(context: Any) -> None:
    context.copy = start_fleet(context).store.state.copy()


@given("nodes join it beside {places}")
def given_joining(context: Any, places: str) -> None:
    async def join() -> None:
        await add_nodes(context, places.split(", "))
        context.fleet.configure(4, [route("/tiles/", {"mapdesk": 1})])
        await context.fleet.settle()
        await context.fleet.wait_for(lambda: len(announced(context.fleet)) == 3)

    run(context, join())


def announced(fleet: PlatformFleet) -> set[str]:
    return set(fleet.store.state.kinds.get("announcements", {}))


@then("within {seconds:d} s the store holds the announcement of each node")
def then_announced(context: Any, seconds: int) -> None:
    fleet = context.fleet
    names = {each.node.name for each in fleet.fleet_nodes}
    run(context, fleet.wait_for(lambda: announced(fleet) >= names, float(seconds)))


@step('the operator writes version {version:d} in which "{path}" goes nowhere')
def write_version(context: Any, version: int, path: str) -> None:
    fleet = context.fleet

    async def write() -> None:
        fleet.configure(version, [route("/book/", {"mapdesk": 1}, kind="non_idempotent")])
        nodes = [each.node for each in fleet.fleet_nodes]
        await fleet.wait_for(lambda: all(node.view.revision == version for node in nodes))

    run(context, write())


@then("for {seconds:d} s no node has a version below {version:d} in force")
def then_none_below(context: Any, seconds: int, version: int) -> None:
    async def look() -> None:
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            held = [each.node.view.revision for each in context.fleet.fleet_nodes]
            assert min(held) >= version, held
            await asyncio.sleep(POLL_S)

    run(context, look())


@when("a node starts without the operator beside {place}")
def when_starts(context: Any, place: str) -> None:
    fleet = context.fleet

    async def begin() -> None:
        await add_nodes(context, [place])
        started = fleet.fleet_nodes[-1]
        context.revisions = set()
        ends_at = time.monotonic() + 3.0
        while time.monotonic() < ends_at:
            if started.node.accepts_callers():
                context.revisions.add(started.node.view.revision)
            await asyncio.sleep(POLL_S)

    run(context, begin())


@then("it has taken callers by version {version:d} alone")
def then_by_version(context: Any, version: int) -> None:
    assert context.revisions == {version}, context.revisions


@step("the operator writes {count:d} other entries")
def write_others(context: Any, count: int) -> None:
    async def write() -> None:
        for number in range(count):
            context.fleet.store.state.put("notes", f"n{number}", Specification=time.monotonic())
        await asyncio.sleep(0.05)

    run(context, write())


def client_of(context: Any) -> HttpObjectStore:
    """Return a client of a platform store, closed at the end of the scenario."""
    fleet = start_fleet(context)
    client = open_object_store(run(context, fleet.open_store()), protocol=PlatformStoreProtocol())
    context.cleanup.callback(lambda: run(context, client.close()))
    return client


def result_or_code(context: Any, work: Any) -> Any:
    """Return the result of a call, or the code of its error."""
    try:
        return run(context, work)
    except MarjoramtideError as error:
        return error.code


@given("a client of the platform's store that has read an object")
def given_reader(context: Any) -> None:
    context.client = client_of(context)
    state = context.fleet.store.state
    state.put("notes", "a", Specification={"text": "first"})
    context.copy = state.copy()
    state.put("notes", "a", Specification={"text": "lost"})
    context.read = run(context, context.client.get("notes/a"))


@when("the store comes back from a copy, and another object's writer gets the same revision")
def when_given_out_again(context: Any) -> None:
    state = context.fleet.store.state
    state.restore(context.copy)
    state.put("notes", "a", Specification={"text": "second"})
    assert state.get("notes", "a")["Metadata"]["Revision"] == context.read.version
    context.ambiguous_code = result_or_code(
        context, context.client.update("notes/a", b"mine", context.read.version)
    )


@then("its conditional write is refused as a conflict")
def then_conflict(context: Any) -> None:
    client, read = context.client, context.read
    assert (
        result_or_code(context, client.update("notes/a", b"x", read.version)) == "version-conflict"
    )
    assert result_or_code(context, client.delete("notes/a", read.version)) == "version-conflict"
    again = run(context, client.get("notes/a"))
    assert again.version > read.version
    assert run(context, client.update("notes/a", b"known", again.version)).value == b"known"


@then("a write that was on its way when the store came back is told to be undecided")
def then_undecided(context: Any) -> None:
    assert context.ambiguous_code is ErrorCode.STORE_AMBIGUOUS, context.ambiguous_code


@given('a client of the platform\'s store that is told of the epoch "{text}"')
def given_told(context: Any, text: str) -> None:
    context.client = client_of(context)
    context.fleet.store.state.era = text


@then("its read fails as store-unavailable and its write as store-ambiguous")
def then_fails(context: Any) -> None:
    client = context.client
    assert result_or_code(context, client.get("notes/a")) is ErrorCode.STORE_UNAVAILABLE
    assert result_or_code(context, client.create("notes/a", b"x")) is ErrorCode.STORE_AMBIGUOUS
