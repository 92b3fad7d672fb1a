"""Steps for the client of the object store."""

import asyncio
from contextlib import suppress
from typing import Any

from behave import given, then, when

from features.store_harness import start_harness, start_process
from marjoramtide.errors import MarjoramtideError
from marjoramtide.store import StoreLimits, create_resolved, update_resolved


def resolve(context: Any, write: Any, *place: Any, within: float = 3.0) -> None:
    """Run a resolved write of the value "mine" and keep its resolution or error."""
    harness = context.store
    context.result = harness.outcome(
        write(
            context.node,
            *place,
            lambda value: b"mine" in value.split(b"+"),
            clock=harness.clock,
            rng=context.node.rng,
            deadline=harness.clock.monotonic() + within,
        )
    )


async def read_code(node: Any, timeout: float) -> str:
    try:
        await node.get("settings/tree", timeout=timeout)
    except MarjoramtideError as error:
        return str(error.code)
    return "ok"


@given("an object store")
def given_store(context: Any) -> None:
    harness = start_harness(context)
    context.node, context.other = harness.client(), harness.client()


@given("an object store that keeps {count:d} changes")
def given_store_with_history(context: Any, count: int) -> None:
    harness = start_harness(context, history=count)
    context.node, context.other = harness.client(), harness.client()


@given("an object store that refuses every call over its rate")
def given_throttling_store(context: Any) -> None:
    given_store(context)
    context.store.server.faults.throttle = -1


@given("the object store as a process")
def given_store_process(context: Any) -> None:
    given_store(context)
    context.process, url = start_process(context)
    context.node = context.store.client(url=url)


@given("the node has called the store before")
def given_open_connection(context: Any) -> None:
    context.store.run(context.node.create("settings/warm", b""))


@given("a node that may make {burst:d} writes at once and {rate:d} a second")
def given_small_budget(context: Any, burst: int, rate: int) -> None:
    limits = StoreLimits(writes_per_s=rate, write_burst=burst)
    context.node = context.store.client(limits)


@given('another node created "{key}" as "{value}"')
def given_other_object(context: Any, key: str, value: str) -> None:
    context.first = context.store.run(context.other.create(key, value.encode()))


@given('another node has updated "{key}" to "{value}" meanwhile')
@when('another node updates "{key}" to "{value}"')
def when_other_updates(context: Any, key: str, value: str) -> None:
    async def update() -> None:
        stored = await context.other.get(key)
        await context.other.update(key, value.encode(), stored.version)

    context.store.run(update())


@when("the store loses the answer to the next write")
def when_answer_lost(context: Any) -> None:
    context.store.server.faults.lose_answers = 1


@when("the store delays the next write")
def when_write_late(context: Any) -> None:
    context.store.server.faults.late_writes = 1


@when("the next read is stale")
def when_read_stale(context: Any) -> None:
    context.store.server.faults.stale_reads = 1


@when('the store is in mode "{mode}"')
def when_mode(context: Any, mode: str) -> None:
    context.store.server.set_mode(mode)


@when("the store takes {milliseconds:d} ms for each call")
def when_slow(context: Any, milliseconds: int) -> None:
    context.store.server.faults.slow_ms = milliseconds


@when("{seconds:d} s have passed")
def when_time_passed(context: Any, seconds: int) -> None:
    context.store.clock.added += seconds


@when("another node builds on that write before the node looks")
def when_other_builds_on_it(context: Any) -> None:
    state = context.store.server.state
    put = state.put

    def put_and_build(key: str, value: bytes, if_version: int) -> Any:
        record = put(key, value, if_version)
        if record is not None:
            state.put = put
            put(key, value + b"+theirs", record.version)
        return record

    state.put = put_and_build


@when('the node creates "{key}" as "{value}"')
def when_create(context: Any, key: str, value: str) -> None:
    context.result = context.store.outcome(context.node.create(key, value.encode(), timeout=0.5))


@when('the node creates "{key}" as "{value}" and resolves the outcome')
def when_create_resolved(context: Any, key: str, value: str) -> None:
    resolve(context, create_resolved, key, value.encode())


@when('the node creates "{key}" as "{value}" and resolves the outcome within {seconds:g} s')
def when_create_resolved_within(context: Any, key: str, value: str, seconds: float) -> None:
    resolve(context, create_resolved, key, value.encode(), within=seconds)


@when('the node updates "{key}" to "{value}" and resolves the outcome')
@when('the node updates the first version of "{key}" to "{value}" and resolves the outcome')
def when_update_resolved(context: Any, key: str, value: str) -> None:
    resolve(context, update_resolved, key, value.encode(), context.first.version)


@when("the node makes {count:d} writes within {seconds:g} s")
def when_many_writes(context: Any, count: int, seconds: float) -> None:
    async def write(number: int) -> str:
        try:
            await context.node.create(f"claims/{number}", b"", timeout=seconds)
        except MarjoramtideError as error:
            return str(error.code)
        return "ok"

    async def write_all() -> list[str]:
        return await asyncio.gather(*map(write, range(count)))

    context.codes = [code for code in context.store.run(write_all()) if code != "ok"]


@when("the node reads {count:d} times with a timeout of {seconds:g} s")
def when_reads(context: Any, count: int, seconds: float) -> None:
    context.codes = [context.store.run(read_code(context.node, seconds)) for _ in range(count)]


@when("the node checks the store {count:d} time")
@when("the node checks the store {count:d} times")
def when_checks(context: Any, count: int) -> None:
    async def check() -> None:
        for _ in range(count):
            with suppress(MarjoramtideError):
                await context.node.current_version(timeout=0.3)

    context.store.run(check())


@when("the node reads {count:d} times at once")
def when_reads_at_once(context: Any, count: int) -> None:
    async def read_all() -> list[str]:
        return await asyncio.gather(*(read_code(context.node, 0.3) for _ in range(count)))

    context.codes = context.store.run(read_all())


@when('{made:d} objects are made and the newest {deleted:d} deleted under "{prefix}"')
def when_made_and_deleted(context: Any, made: int, deleted: int, prefix: str) -> None:
    async def change() -> None:
        objects = [await context.other.create(f"{prefix}{number}", b"") for number in range(made)]
        for stored in objects[-deleted:]:
            await context.other.delete(stored.key, stored.version)

    context.store.run(change())


@when("the store's process is killed")
def when_process_killed(context: Any) -> None:
    context.process.kill()
    context.process.wait()


@when("the store's process is started again at its address")
def when_process_restarted(context: Any) -> None:
    address = context.node.url.removeprefix("http://")
    context.process, _ = start_process(context, address)


@then('the call fails as "{code}"')
def then_call_fails(context: Any, code: str) -> None:
    assert isinstance(context.result, MarjoramtideError), context.result
    assert context.result.code == code, context.result


@then("the call fails without a claim of success")
def then_call_fails_somehow(context: Any) -> None:
    codes = ("store-unavailable", "store-ambiguous")
    assert isinstance(context.result, MarjoramtideError), context.result
    assert context.result.code in codes, context.result


@then("the call succeeds")
def then_call_succeeds(context: Any) -> None:
    assert not isinstance(context.result, Exception), context.result


@then("the write is its own")
def then_write_own(context: Any) -> None:
    assert not isinstance(context.result, Exception), context.result
    assert context.result.is_own, context.result


@then('the write lost to "{value}"')
def then_write_lost(context: Any, value: str) -> None:
    assert not isinstance(context.result, Exception), context.result
    assert not context.result.is_own, context.result
    assert context.result.stored.value == value.encode(), context.result


@then("the delayed write is refused when it arrives")
def then_late_refused(context: Any) -> None:
    assert context.store.server.apply_delayed_writes() == [False]


@then('the store holds "{value}" under "{key}"')
def then_store_holds(context: Any, value: str, key: str) -> None:
    assert context.store.server.state.objects[key].value == value.encode()


@then("the store has seen {count:d} writes")
def then_writes_seen(context: Any, count: int) -> None:
    assert context.store.server.counts["writes"] == count, context.store.server.counts


@then("the store has seen {count:d} reads")
def then_reads_seen(context: Any, count: int) -> None:
    assert context.store.server.counts["reads"] == count, context.store.server.counts


@then("the store has seen at most {count:d} writes")
def then_few_writes(context: Any, count: int) -> None:
    assert context.store.server.counts["writes"] <= count, context.store.server.counts


@then("the node's write budget is at most {rate:d} calls a second")
def then_budget_below(context: Any, rate: int) -> None:
    assert context.node.write_budget.rate_per_s <= rate, context.node.write_budget.rate_per_s


@then("the node's write budget is {rate:d} calls a second")
def then_budget_is(context: Any, rate: int) -> None:
    context.node.write_budget.refill()
    assert context.node.write_budget.rate_per_s == rate, context.node.write_budget.rate_per_s


@then('the others failed as "{code}"')
@then('every read failed as "{code}"')
def then_all_failed(context: Any, code: str) -> None:
    assert set(context.codes) == {code}, context.codes


@then("the node can read again")
def then_can_read(context: Any) -> None:
    assert context.store.run(read_code(context.node, 2.0)) == "not-found"


async def next_event(context: Any, prefix: str, since: int) -> Any:
    """Create an object while a watch is open, and return the watch's first event."""

    async def change() -> None:
        await asyncio.sleep(0.05)
        await context.other.create(f"{prefix}new", b"")

    maker = asyncio.create_task(change())
    try:
        async for event in context.node.watch(prefix, since, wait=5.0):
            return event
    finally:
        await maker
    raise AssertionError("the watch ended without an event")


@then('a watch of "{prefix}" from the list\'s version reports the next change')
def then_watch_reports(context: Any, prefix: str) -> None:
    listing = context.store.run(context.node.list(prefix))
    event = context.store.run(next_event(context, prefix, listing.version))
    assert event.key == f"{prefix}new", event


@then('a watch of "{prefix}" from the newest object listed fails as "{code}"')
def then_watch_gap(context: Any, prefix: str, code: str) -> None:
    async def watch() -> None:
        listing = await context.node.list(f"{prefix}0")
        async for event in context.node.watch(prefix, listing[0].version, wait=1.0):
            raise AssertionError(event)

    result = context.store.outcome(watch())
    assert isinstance(result, MarjoramtideError) and result.code == code, result
