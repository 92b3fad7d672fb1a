"""Steps for the backend server stand-in, which runs in an event loop of the scenario."""

import asyncio
from typing import Any

import aiohttp
from behave import given, then, when

from standins.backend import BackendServer, Faults, start_backend
from standins.backend._service_time import ServiceTime

ALL_STEPS = 1.0


def run(context: Any, work: Any) -> Any:
    return context.loop.run_until_complete(work)


async def wait_until(condition: Any) -> None:
    for _ in range(400):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the stand-in did not reach the expected state")


async def cancel_all(callers: list[Any]) -> None:
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


async def send_request(server: BackendServer, method: str, path: str, **headers: str) -> Any:
    """Send a request on a new connection; return status, headers and body."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, f"http://{server.name}{path}", headers=headers) as response,
    ):
        return response.status, response.headers, await response.read()


@given("a stand-in with {slots:d} slots")
def step_stand_in(context: Any, slots: int) -> None:
    context.loop = asyncio.new_event_loop()
    context.cleanup.callback(context.loop.close)
    context.server = run(context, start_backend("127.0.0.1", 0, slots=slots))
    context.cleanup.callback(lambda: run(context, context.server.close()))


@given("a stand-in with {slots:d} slots that are held by requests of {ms:d} ms")
def step_held(context: Any, slots: int, ms: int) -> None:
    step_stand_in(context, slots)
    methods = ["GET" if number % 2 else "POST" for number in range(slots)]
    context.slot_holders = [
        context.loop.create_task(send_request(context.server, method, f"/?ms={ms}"))
        for method in methods
    ]
    context.cleanup.callback(lambda: run(context, cancel_all(context.slot_holders)))
    run(context, wait_until(lambda: context.server.slots.in_use == slots))


@given("a stand-in with {slots:d} slots that drains with a grace of {ms:d} ms")
def step_drains(context: Any, slots: int, ms: int) -> None:
    step_stand_in(context, slots)
    context.server.set_faults(Faults(drain=True, drain_grace_ms=ms))


@when("a stand-in booking with a deadline of {ms:d} ms arrives")
def step_booking(context: Any, ms: int) -> None:
    headers = {"Request-Timeout-Ms": str(ms), "X-Request-Id": "late"}
    context.response = run(context, send_request(context.server, "POST", "/", **headers))


@when("the callers of the lookup and of the booking that hold the slots leave")
def step_leave(context: Any) -> None:
    run(context, cancel_all(context.slot_holders))
    run(context, wait_until(lambda: context.server.ledger.cancels == 2))
    run(context, wait_until(lambda: context.server.slots.in_use == 1))


@when("the stand-in is told to mislead")
def step_mislead(context: Any) -> None:
    context.server.set_faults(Faults(mislead=True))


@then('the stand-in responds with {status:d} and the outcome "{outcome}"')
def step_refused(context: Any, status: int, outcome: str) -> None:
    actual_status, headers, _ = context.response
    assert (actual_status, headers["Request-Outcome"]) == (status, outcome), context.response


@then("the stand-in has run {count:d} requests")
def step_ran(context: Any, count: int) -> None:
    assert context.server.ledger.executions == count


@then("the stand-in has {in_use:d} slot in use, {cancels:d} cancels and {count:d} requests run")
def step_counts(context: Any, in_use: int, cancels: int, count: int) -> None:
    ledger = context.server.ledger
    found = (context.server.slots.in_use, ledger.cancels, ledger.executions)
    assert found == (in_use, cancels, count), found


@then('the stand-in asked to close the connection and says "{state}"')
def step_closes(context: Any, state: str) -> None:
    assert context.response[1]["Connection"] == "close"
    _, _, health = run(context, send_request(context.server, "GET", "/health"))
    assert state.encode() in health


@then("its load endpoint says {reported:d} slots in use and its statistics say {true:d}")
def step_load(context: Any, reported: int, true: int) -> None:
    _, _, load = run(context, send_request(context.server, "GET", "/load"))
    assert f'"in_use": {reported}'.encode() in load, load
    assert context.server.stats()["in_use"] == true


@given("stand-in noise of factor {factor:g} in all steps of {ms:g} ms")
def step_noise(context: Any, factor: float, ms: float) -> None:
    context.faults = Faults(noise_factor=factor, noise_share=ALL_STEPS, noise_step_ms=ms)


@then("{work:d} ms of stand-in work take {took:d} ms")
def step_slowed(context: Any, work: int, took: int) -> None:
    slowed_s = ServiceTime(1, seed=1).duration_with_noise_s(work / 1000, context.faults, 0.013)
    assert abs(slowed_s * 1000 - took) < 0.01, slowed_s
