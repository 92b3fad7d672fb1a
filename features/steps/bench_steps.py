"""Steps for the load tool; its stand-in runs in the same event loop."""

import asyncio
import time
from typing import Any

from behave import given, then, when

from bench.load import (
    Attempt,
    Audit,
    Backends,
    Caller,
    OpenLoop,
    Outcome,
    PlannedCall,
    audit,
    play,
    tally,
)
from marjoramtide.clock import ManualClock
from standins.backend import BackendServer, Faults, start_backend

SERVICE = "mapdesk"


def planned_calls(count: int, method: str, *, spacing_s: float = 0.0) -> list[PlannedCall]:
    """Return ``count`` calls; every second booking has an idempotency key."""
    label = "lookup" if method == "GET" else "booking"
    return [
        PlannedCall(
            at_s=number * spacing_s,
            request_id=f"{label}-{number}",
            service=SERVICE,
            label=label,
            timeout_ms=5000,
            method=method,
            answer_bytes=1000,
            body_bytes=0 if method == "GET" else 300,
            key=f"key-{number}" if method == "POST" and number % 2 else "",
        )
        for number in range(count)
    ]


async def start(faults: dict[str, Any]) -> BackendServer:
    server = await start_backend("127.0.0.1", 0, slots=50, service_ms=1)
    server.set_faults(server.faults.updated(faults))
    return server


async def play_against(faults: dict[str, Any], calls: list[PlannedCall]) -> tuple[Any, Audit]:
    server = await start(faults)
    results = await play(calls, {SERVICE: [server.name]})
    async with Backends([server.name]) as backends:
        audit_result = audit(results, await backends.reports())
    await server.close()
    return results, audit_result


async def play_during_freeze(calls: list[PlannedCall]) -> tuple[Any, float, float]:
    server = await start({"freeze": True})
    started_at = time.monotonic()
    playing = asyncio.create_task(play(calls, {SERVICE: [server.name]}, start=started_at))
    for _ in range(400):
        if sum(connection.task is not None for connection in server.connections) == len(calls):
            break
        await asyncio.sleep(0.01)
    else:
        raise AssertionError("the load tool did not send all planned calls")
    thawed_at = time.monotonic()
    server.set_faults(server.faults.updated({"freeze": False}))
    results = await playing
    await server.close()
    return results, started_at, thawed_at


@given('a load-tool backend server with the fault "{fault}" for every {kind}')
def step_fault(context: Any, fault: str, kind: str) -> None:
    context.faults = {fault: 1.0}


async def send_two_lookups(calls: list[PlannedCall]) -> tuple[Attempt, int]:
    server = await start({})
    async with Caller({SERVICE: [server.name]}) as caller:
        await caller.attempt(calls[0], 1)
        server.set_faults(Faults(close_before_answer=1.0))
        attempt = await caller.attempt(calls[1], 1)
    await server.close()
    return attempt, server.ledger.requests[calls[1].request_id]


@given("a load-tool backend server that loses every response after the first")
def step_loses_responses(context: Any) -> None:
    context.calls = planned_calls(2, "GET")


@when("the load tool makes two lookups over one connection")
def step_two(context: Any) -> None:
    context.second, context.runs = asyncio.run(send_two_lookups(context.calls))


@then('the second lookup ran once and is "{outcome}"')
def step_second(context: Any, outcome: str) -> None:
    assert (context.runs, context.second.outcome) == (1, outcome), (context.runs, context.second)


@given("a load-tool backend server that is frozen")
def step_frozen(context: Any) -> None:
    context.faults = {"freeze": True}


@when("the load tool makes {lookups:d} lookups and {bookings:d} bookings")
def step_calls(context: Any, lookups: int, bookings: int) -> None:
    calls = planned_calls(lookups, "GET") + planned_calls(bookings, "POST")
    context.results, context.audit = asyncio.run(play_against(context.faults, calls))


@when("the load tool plays {count:d} lookups and the server thaws when all have arrived")
def step_freeze(context: Any, count: int) -> None:
    calls = planned_calls(count, "GET", spacing_s=0.005)
    context.results, context.started_at, context.thawed_at = asyncio.run(play_during_freeze(calls))


@then('the load tool counts {count:d} calls as "{outcome}"')
def step_outcomes(context: Any, count: int, outcome: str) -> None:
    total = tally(context.results)[""]
    assert dict(total.outcomes) == {Outcome(outcome): count}, (total.outcomes, total.reasons)


@then('the audit lists {count:d} requests as "{kind}"')
def step_audit(context: Any, count: int, kind: str) -> None:
    listed = getattr(context.audit, kind)
    assert len(listed) == count, context.audit
    assert not context.audit.is_clean


@then("the audit counts {count:d} executions as wasted")
def step_wasted(context: Any, count: int) -> None:
    assert context.audit.wasted == count, context.audit


@then("the audit finds no violation")
def step_clean(context: Any) -> None:
    assert context.audit.is_clean, context.audit


@then("every latency spans from the planned time to the thaw")
def step_spans(context: Any) -> None:
    too_short = [
        result
        for result in context.results
        if context.started_at + result.call.at_s + result.latency_ms / 1000 < context.thawed_at
    ]
    assert not too_short, too_short


@given("an open loop on a manual clock with a call planned every 0.1 s for 1 s")
def step_manual(context: Any) -> None:
    context.clock = ManualClock()
    context.calls = planned_calls(10, "GET", spacing_s=0.1)


@when("the clock jumps by 2 s at once and every response takes no time")
def step_jump(context: Any) -> None:
    async def respond(call: PlannedCall) -> tuple[Attempt, ...]:
        return (Attempt(call.request_id, Outcome.COMPLETED, 0.0),)

    async def run() -> Any:
        loop = OpenLoop(respond, context.clock)
        start_s = context.clock.monotonic()
        context.clock.advance(2.0)
        async with asyncio.timeout(2):
            return await loop.run(context.calls, start_s)

    context.results = asyncio.run(run())


@then("the latencies counted are the 2 s less each planned time")
def step_counted(context: Any) -> None:
    counted = [round(result.latency_ms) for result in context.results]
    assert counted == [round(2000 - call.at_s * 1000) for call in context.calls], counted
