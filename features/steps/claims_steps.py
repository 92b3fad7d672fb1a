"""Steps for claims of idempotency keys."""

import asyncio
import random
from contextlib import suppress
from typing import Any

import attrs
from behave import given, step, then, when

from features.store_harness import SEED, LeapingClock, start_harness, start_process
from marjoramtide.claims import ClaimState, make_claim_cleaner, make_claims
from marjoramtide.claims._claim_keys import claim_key
from marjoramtide.errors import MarjoramtideError
from marjoramtide.settings import RouteSettings

WITHIN_S = 2.0
LATE_WITHIN_S = 1.0


def make_nodes(context: Any, url: str = "") -> None:
    harness = context.store
    context.settings = RouteSettings(service="mapdesk")
    context.nodes = {
        name: make_claims(
            harness.client(url=url), harness.clock, f"node-{name}", random.Random(SEED + number)
        )
        for number, name in enumerate("AB")
    }
    context.handles, context.results, context.listed, context.deleted = {}, [], [], 0


async def acquire(
    context: Any, name: str, key: str, digest: str = "request-1", within: float = WITHIN_S
) -> Any:
    deadline = context.store.clock.monotonic() + within
    return await context.nodes[name].acquire("mapdesk", key, digest, context.settings, deadline)


def claim(context: Any, name: str, key: str, **options: Any) -> Any:
    context.result = context.store.run(acquire(context, name, key, **options))
    if context.result.handle is not None:
        context.handles[name, key] = context.result.handle
    return context.result


def close_circuits(context: Any) -> None:
    """Advance the clock so that the circuit breakers allow a probe of the store."""
    context.store.clock.added += 10


@given("two nodes with claims")
def given_nodes(context: Any) -> None:
    start_harness(context)
    make_nodes(context)


@given("two nodes with claims and the store as a process")
def given_nodes_and_process(context: Any) -> None:
    start_harness(context)
    context.process, url = start_process(context)
    make_nodes(context, url)


@given('the route\'s claims_when_store_down is "{value}"')
def given_when_down(context: Any, value: str) -> None:
    context.settings = attrs.evolve(context.settings, claims_when_store_down=value)


@given("the route's claim_retention_s is {seconds:g}")
def given_retention(context: Any, seconds: float) -> None:
    context.settings = attrs.evolve(context.settings, claim_retention_s=seconds)


@given('node {name:w} has claimed "{key}"')
def given_claimed(context: Any, name: str, key: str) -> None:
    assert claim(context, name, key).outcome == "held", context.result


@given('node {name:w} has claimed and released "{key}"')
def given_released(context: Any, name: str, key: str) -> None:
    given_claimed(context, name, key)
    when_released(context, name, key)


@when("both nodes claim each of {count:d} keys at once")
def when_race(context: Any, count: int) -> None:
    async def race(key: str) -> list[Any]:
        return await asyncio.gather(*(acquire(context, name, key) for name in "AB"))

    context.results = [context.store.run(race(f"booking-{number}")) for number in range(count)]


@when("the store loses the answer to the claim's write")
def when_claim_answer_lost(context: Any) -> None:
    context.store.server.faults.lose_answers = 1


@when('the store goes down by "{mode}"')
def when_store_down(context: Any, mode: str) -> None:
    context.store.server.set_mode(mode)


@when('node {name:w} claims "{key}"')
def when_claims(context: Any, name: str, key: str) -> None:
    claim(context, name, key)


@when('node {name:w} claims "{key}" for another request')
def when_claims_other(context: Any, name: str, key: str) -> None:
    claim(context, name, key, digest="request-2")


@when('the store delays every write and node {name:w} claims "{key}"')
def when_claim_late(context: Any, name: str, key: str) -> None:
    context.store.server.faults.late_writes = -1
    claim(context, name, key, within=LATE_WITHIN_S)
    context.store.server.faults.late_writes = 0


@when('the store delays every update and node {name:w} claims "{key}"')
def when_take_over_late(context: Any, name: str, key: str) -> None:
    context.store.server.faults.late_updates = -1
    claim(context, name, key, within=LATE_WITHIN_S)
    context.store.server.faults.late_updates = 0


@when('the store delays one write and node {name:w} claims "{key}"')
def when_first_copy_late(context: Any, name: str, key: str) -> None:
    context.store.server.faults.late_writes = 1
    assert claim(context, name, key).outcome == "held", context.result


@when("the delayed writes arrive")
def when_late_arrive(context: Any) -> None:
    assert context.store.server.delayed_writes
    context.store.server.apply_delayed_writes()


@when("the delayed writes arrive {order} node {name:w} flushes its claims")
def when_late_and_settle(context: Any, order: str, name: str) -> None:
    steps = [lambda: when_late_arrive(context), lambda: when_settled(context, name)]
    for act in steps if order == "before" else reversed(steps):
        act()


@when("node {name:w} flushes its claims")
def when_settled(context: Any, name: str) -> None:
    close_circuits(context)
    assert context.store.run(context.nodes[name].flush(5.0))


@when('node {name:w}\'s claim of "{key}" is cancelled while the store hangs')
def when_cancelled(context: Any, name: str, key: str) -> None:
    context.store.server.set_mode("hang")

    async def cancel() -> None:
        attempt = asyncio.create_task(acquire(context, name, key))
        await context.store.server.hang_started.wait()
        attempt.cancel()
        with suppress(asyncio.CancelledError):
            await attempt

    context.store.run(cancel())


@when("the store comes back and node {name:w} flushes its claims")
def when_back_and_settled(context: Any, name: str) -> None:
    context.store.server.set_mode("up")
    when_settled(context, name)


@when("the store goes up before node {name:w} flushes its claims")
def when_up_before_settled(context: Any, name: str) -> None:
    context.store.server.set_mode("up")
    close_circuits(context)


@step('node {name:w} has recorded "{key}" as completed with the body "{body}"')
@when('node {name:w} records "{key}" as completed with the body "{body}"')
def when_recorded(context: Any, name: str, key: str, body: str) -> None:
    record = context.nodes[name].record(
        context.handles[name, key],
        ClaimState.COMPLETED,
        201,
        [("Content-Type", "text/plain")],
        body.encode(),
    )
    context.recorded = context.store.run(record)


@when('node {name:w} records "{key}" as unknown')
def when_recorded_unknown(context: Any, name: str, key: str) -> None:
    record = context.nodes[name].record(context.handles[name, key], ClaimState.UNKNOWN)
    assert context.store.run(record)


@when('node {name:w} releases "{key}"')
def when_released(context: Any, name: str, key: str) -> None:
    assert context.store.run(context.nodes[name].release(context.handles[name, key]))


@when("the next {count:d} reads of claims are stale")
def when_claim_reads_stale(context: Any, count: int) -> None:
    context.store.server.faults.stale_reads = count


@when("the store refuses every claim over its rate")
def when_claims_throttled(context: Any) -> None:
    context.store.server.faults.throttle = -1


@when("{seconds:d} s pass on every clock")
def when_clocks_pass(context: Any, seconds: int) -> None:
    context.store.clock.added += seconds
    context.store.server.clock_ahead_s += seconds


@given("node {name:w}'s clock is {seconds:d} s off")
def given_wrong_clock(context: Any, name: str, seconds: int) -> None:
    clock = LeapingClock()
    clock.added_wall = seconds
    node = context.nodes[name]
    node.clock = node.store.clock = node.pending_writes.clock = clock


@when(
    'a cleaner lists the slice of "{key}", stopped for {seconds:d} s while node {name:w} claims it'
)
def when_cleaner_stopped(context: Any, key: str, seconds: int, name: str) -> None:
    harness = context.store
    cleaner, number = cleaner_of(context, key)
    exchange = cleaner.store.exchange

    async def stopped_exchange(call: Any, left: float) -> Any:
        cleaner.store.exchange = exchange
        harness.clock.added += seconds
        harness.server.clock_ahead_s += seconds
        await acquire(context, name, key)
        return await exchange(call, left)

    cleaner.store.exchange = stopped_exchange
    context.deleted += harness.run(cleaner.clean_slice(number))


def cleaner_of(context: Any, key: str) -> tuple[Any, int]:
    harness = context.store
    cleaner = make_claim_cleaner(harness.client(), harness.clock, random.Random(SEED))
    return cleaner, int(claim_key("mapdesk", key).split("/")[1], 16)


@when('two cleaners list the slice of "{key}"')
def when_cleaners_list(context: Any, key: str) -> None:
    cleaners = [cleaner_of(context, key) for _ in range(2)]
    context.listed = [
        (cleaner, context.store.run(cleaner.list_expired(number))) for cleaner, number in cleaners
    ]
    assert all(len(listed) == 1 for _, listed in context.listed), context.listed


@when("the {_which:w} cleaner deletes what it listed")
def when_cleaner_deletes(context: Any, _which: str) -> None:
    cleaner, listed = context.listed.pop(0)
    context.deleted += context.store.run(cleaner.delete_all(listed))


@when('a cleaner cleans the slice of "{key}"')
def when_cleaner_cleans(context: Any, key: str) -> None:
    cleaner, number = cleaner_of(context, key)
    context.deleted += context.store.run(cleaner.clean_slice(number))


@when("the store's process dies")
def when_store_dies(context: Any) -> None:
    context.process.kill()
    context.process.wait()


@then("each key is held by exactly one of them")
def then_one_holds(context: Any) -> None:
    outcomes = [sorted(result.outcome for result in pair) for pair in context.results]
    assert all(pair == ["conflict", "held"] for pair in outcomes), outcomes


@then('the other attempts met a conflict "{reason}"')
def then_others_conflict(context: Any, reason: str) -> None:
    reasons = {result.reason for pair in context.results for result in pair} - {None}
    assert reasons == {reason}, reasons


@then('node {name:w}\'s result is "{outcome}"')
def then_result(context: Any, name: str, outcome: str) -> None:
    assert context.result.outcome == outcome, context.result


@then('node {name:w}\'s claim of "{key}" is "{outcome}"')
def then_claim_is(context: Any, name: str, key: str, outcome: str) -> None:
    assert claim(context, name, key).outcome == outcome, context.result


@then('node {name:w} met a conflict "{reason}"')
def then_conflict(context: Any, name: str, reason: str) -> None:
    assert context.result.outcome == "conflict", context.result
    assert context.result.reason == reason, context.result


@then("a refusal has a retry time")
def then_retry_after(context: Any) -> None:
    assert context.result.can_run or context.result.retry_after_ms > 0, context.result


@then("the record has not reached the store")
def then_not_recorded(context: Any) -> None:
    assert context.recorded is False


@then('the recorded answer is {status:d} with the body "{body}"')
def then_recorded_answer(context: Any, status: int, body: str) -> None:
    record = context.result.record
    assert (record.status, record.body) == (status, body.encode()), record


@then('the recorded state is "{state}"')
def then_recorded_state(context: Any, state: str) -> None:
    assert context.result.record.state == state, context.result


@step('node {name:w} may dispatch "{key}"')
def then_may_dispatch(context: Any, name: str, key: str) -> None:
    assert context.handles[name, key].can_dispatch(context.store.clock.monotonic())


@then('node {name:w} may not dispatch "{key}"')
def then_may_not_dispatch(context: Any, name: str, key: str) -> None:
    assert not context.handles[name, key].can_dispatch(context.store.clock.monotonic())


@then('a claim of a key of {count:d} characters fails as "{code}"')
def then_bad_key(context: Any, count: int, code: str) -> None:
    error = context.store.outcome(acquire(context, "A", "k" * count))
    assert isinstance(error, MarjoramtideError) and error.code == code, error


@then("the cleaners have deleted {count:d} claim")
@then("the cleaners have deleted {count:d} claims")
def then_deleted(context: Any, count: int) -> None:
    assert context.deleted == count, context.deleted


@then("the cleaners of {count:d} nodes list {least:g} to {most:g} slices a second in all")
def then_lists_per_s(context: Any, count: int, least: float, most: float) -> None:
    cleaner = make_claim_cleaner(
        context.store.client(), context.store.clock, random.Random(SEED), fleet_size=lambda: count
    )
    rounds = 1000
    found = count * rounds / sum(cleaner.pause_s() for _ in range(rounds))
    assert least <= found <= most, found
