"""Steps on the callers' port of a node with fake backend servers."""

import asyncio
import itertools
import random
import socket
import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.clock import SystemClock
from marjoramtide.exchange import Request, RequestBody, Response
from marjoramtide.ingress import Ingress
from marjoramtide.settings import DEFAULTS, RouteSettings, Workspaces
from marjoramtide.telemetry import Metrics, Tracer
from standins.raw_caller import STATUS_LINE, RawResponse, send_raw

use_step_matcher("parse")

BODY = b"a" * 59999 + b"\n"
HEAD = b"GET /%d HTTP/1.1\r\nHost: s\r\n\r\n"
SETTLE_S = 0.3


async def respond_at_once(request: Request, body: RequestBody, settings: RouteSettings) -> Response:
    return Response(200, (), BODY, length=len(BODY))


async def start_ingress(context: Any, dispatch: Any) -> None:
    clock = SystemClock()
    view = SimpleNamespace(
        is_current=True,
        revision=1,
        node_values=DEFAULTS,
        workspaces=Workspaces(),
        find=lambda host, path: RouteSettings(service=host),
        on_change=lambda listener: None,
    )
    context.metrics = Metrics()
    context.ingress = Ingress(
        "n",
        view,
        SimpleNamespace(dispatch=dispatch),
        clock,
        context.metrics,
        Tracer("n", clock, random.Random(1)),
    )
    await context.ingress.start("127.0.0.1", 0)
    context.port = context.ingress.runner.addresses[0][1]


@given("a node whose every response is 60 kB")
def given_ingress(context: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.runner.run(start_ingress(context, respond_at_once))


@given("a caller that has sent {count:d} requests on one connection and reads nothing")
def given_silent_caller(context: Any, count: int) -> None:
    context.caller = context.cleanup.enter_context(socket.socket())
    context.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    context.caller.connect(("127.0.0.1", context.port))
    context.caller.sendall(b"".join(HEAD % number for number in range(count)))
    context.runner.run(asyncio.sleep(SETTLE_S))


def read_all(caller: socket.socket, after_s: float) -> bytes:
    time.sleep(after_s)
    return b"".join(iter(lambda: caller.recv(1 << 20), b""))


@when("the node is stopped, and the caller reads after {seconds:g} s")
def when_stopped(context: Any, seconds: float) -> None:
    async def work() -> bytes:
        reading = asyncio.create_task(asyncio.to_thread(read_all, context.caller, seconds))
        transports = [each.transport for each in context.ingress.server.connections]
        await context.ingress.start_draining()
        context.ingress.is_stopping = True
        await context.ingress.wait_drained()
        await context.ingress.close()
        # Bytes that the process has not written to its sockets by now are lost when it exits.
        for transport in transports:
            transport.abort()
        return await reading

    context.received = context.runner.run(work())


@then("each response that the caller gets is complete")
def then_complete(context: Any) -> None:
    parts = STATUS_LINE.split(context.received)[1:]
    answers = list(zip(parts[::2], parts[1::2], strict=True))
    sizes = [len(rest.partition(b"\r\n\r\n")[2]) for status, rest in answers if status == b"200"]
    assert len(sizes) > 1 and set(sizes) == {len(BODY)}, sizes


@given("it disconnects callers that read nothing for {seconds:g} s")
def given_short_stall(context: Any, seconds: float) -> None:
    context.ingress.server.stall_timeout_s = seconds


@then("the node has closed the connection of that caller")
def then_disconnected(context: Any) -> None:
    assert not context.ingress.server.connections
    context.metrics.flush()
    assert context.metrics.totals["ingress.refused.slow-caller"] == 1, context.metrics.totals


async def never_respond(request: Request, body: RequestBody, settings: RouteSettings) -> Response:
    await asyncio.Event().wait()
    raise AssertionError("unreachable")


@given(
    "a node whose backend servers never answer, with {places:d} places, "
    "of which {reserve:d} are for urgent requests"
)
def given_full_ingress(context: Any, places: int, reserve: int) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.runner.run(start_ingress(context, never_respond))
    context.ingress.max_in_progress, context.ingress.urgent_reserve = places, reserve


@when(
    "{routine:d} routine and then {urgent:d} urgent requests come, "
    "and all but the refused ones wait"
)
def when_many_come(context: Any, routine: int, urgent: int) -> None:
    async def ask(urgency: int) -> bytes:
        head = b"GET / HTTP/1.1\r\nHost: s\r\nPriority: u=%d\r\n\r\n" % urgency
        answer = await send_raw(f"127.0.0.1:{context.port}", head, silence_s=2 * SETTLE_S)
        return answer.data

    async def work() -> list[bytes]:
        first = [asyncio.create_task(ask(3)) for _ in range(routine)]
        await asyncio.sleep(SETTLE_S)
        return await asyncio.gather(*first, *(ask(0) for _ in range(urgent)))

    answers = context.runner.run(work())
    context.refused = [
        [data for data in group if data] for group in (answers[:routine], answers[routine:])
    ]


@then("{routine:d} routine and {urgent:d} urgent of them were refused at once as overloaded")
def then_refused(context: Any, routine: int, urgent: int) -> None:
    assert [len(each) for each in context.refused] == [routine, urgent], context.refused
    for data in itertools.chain(*context.refused):
        lowered = data.lower()
        assert b"http/1.1 503" in lowered and b"request-outcome: not-run" in lowered, data
        assert b"retry-after: 1" in lowered and b'"overloaded"' in lowered, data


@given("a node whose backend servers answer when it stops")
def given_response_at_stop(context: Any) -> None:
    async def answer(request: Request, body: RequestBody, settings: RouteSettings) -> Response:
        while not context.ingress.is_draining:
            await asyncio.sleep(0)
        return Response(200, (), b"late", length=4)

    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.runner.run(start_ingress(context, answer))


@when("a lookup is in progress there, and the node stops")
def when_stops(context: Any) -> None:
    async def work() -> RawResponse:
        asking = asyncio.create_task(send_raw(f"127.0.0.1:{context.port}", HEAD % 1))
        while not context.ingress.in_progress:
            await asyncio.sleep(0.01)
        await context.ingress.start_draining()
        return await asking

    context.response = context.runner.run(work())


@then("the caller gets the answer, and the connection is closed")
def then_answered(context: Any) -> None:
    assert context.response.data.endswith(b"late") and context.response.closed, context.response


@given("it takes at most {count:d} connections")
def given_few_connections(context: Any, count: int) -> None:
    context.ingress.server.max_connections = count


@when("{count:d} callers connect and then send a request")
def when_connect(context: Any, count: int) -> None:
    async def ask() -> bytes:
        address = f"127.0.0.1:{context.port}"
        return (await send_raw(address, b"", HEAD % 1, pause_s=SETTLE_S)).data

    async def work() -> list[bytes]:
        return await asyncio.gather(*(ask() for _ in range(count)), return_exceptions=True)

    context.responses = context.runner.run(work())


@then("{good:d} of them get the response, and {bad:d} a refusal")
def then_connections_refused(context: Any, good: int, bad: int) -> None:
    complete = [data for data in context.responses if isinstance(data, bytes) and BODY in data]
    refused = [
        data for data in context.responses if isinstance(data, bytes) and data not in complete
    ]
    assert len(complete) == good and all(b"not-run" in data for data in refused), refused
    context.metrics.flush()
    assert context.metrics.totals["ingress.refused.overloaded"] == bad
