"""Steps for claims in a store that is restored from a copy."""

from typing import Any

from behave import given, when  # type: ignore[attr-defined]

from marjoramtide.claims import ClaimState, pack_claim, unpack_claim

SETTLE_S = 2.0


@given("a copy of the claim store is kept")
def given_copy(context: Any) -> None:
    context.copy = context.store.server.state.copy()


@given("node {name:w} is told of what node {other:w} claims")
def given_told(context: Any, name: str, other: str) -> None:
    recent_claims = context.nodes[name].recent_claims
    claims = context.nodes[other]
    claims.replicate_claim = lambda key, record: recent_claims.add_remote(
        *unpack_claim(pack_claim(key, record))
    )


@given("node {name:w} is lost")
def given_lost(context: Any, name: str) -> None:
    context.store.run(context.nodes.pop(name).store.close())


@given('node {name:w} has recorded the answer of "{key}"')
def given_recorded(context: Any, name: str, key: str) -> None:
    handle = context.handles[name, key]
    recorded = context.nodes[name].record(handle, ClaimState.COMPLETED, 200, body=b"booked")
    assert context.store.run(recorded)


@when("the claim store is restored from the copy")
def when_back(context: Any) -> None:
    context.store.server.state.restore(context.copy)


@when("the nodes rewrite their claims and {seconds:d} s pass")
def when_written(context: Any, seconds: int) -> None:
    for claims in context.nodes.values():
        claims.store.observe_epoch(context.store.server.state.epoch)
        context.store.run(claims.flush(SETTLE_S))
    context.store.clock.added += seconds
