"""Steps on the port for callers of a node whose backend servers are a fake."""

import asyncio
import random
import socket
import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.exchange import Answer, Request, RequestBody
from marjoramtide.ingress import Ingress
from marjoramtide.settings import RouteSettings
from marjoramtide.telemetry import Metrics, Tracer
from standins.raw_caller import STATUS_LINE

use_step_matcher("parse")

ANSWER = b"a" * 59999 + b"\n"
HEAD = b"GET /%d HTTP/1.1\r\nHost: s\r\n\r\n"
SETTLE_S = 0.3


async def answer_at_once(request: Request, body: RequestBody, settings: RouteSettings) -> Answer:
    return Answer(200, (), ANSWER, length=len(ANSWER))


async def start_ingress(context: Any, dispatch: Any) -> None:
    clock = SystemClock()
    view = SimpleNamespace(
        is_current=True,
        service_for_host=lambda host: host,
        route=lambda service, path: RouteSettings(service=service),
    )
    context.metrics = Metrics()
    context.ingress = Ingress(
        "n",
        view,
        SimpleNamespace(dispatch=dispatch),
        clock,
        FreezeDetector(clock),
        context.metrics,
        Tracer("n", clock, random.Random(1)),
    )
    await context.ingress.start("127.0.0.1", 0)
    context.port = context.ingress.runner.addresses[0][1]


@given("a node whose every answer is of 60 kB")
def given_ingress(context: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.runner.run(start_ingress(context, answer_at_once))


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
        context.ingress.stopping = True
        await context.ingress.drained()
        await context.ingress.close()
        # What the process has not handed to the system by now is lost with it.
        for transport in transports:
            transport.abort()
        return await reading

    context.received = context.runner.run(work())


@then("each answer that the caller gets is whole")
def then_whole(context: Any) -> None:
    parts = STATUS_LINE.split(context.received)[1:]
    answers = list(zip(parts[::2], parts[1::2], strict=True))
    sizes = [len(rest.partition(b"\r\n\r\n")[2]) for status, rest in answers if status == b"200"]
    assert len(sizes) > 1 and set(sizes) == {len(ANSWER)}, sizes


@given("it lets callers go that read nothing for {seconds:g} s")
def given_short_stall(context: Any, seconds: float) -> None:
    context.ingress.server.stall_timeout_s = seconds


@then("the node has ended the connection of that caller")
def then_let_go(context: Any) -> None:
    assert not context.ingress.server.connections
    context.metrics.flush()
    assert context.metrics.totals["ingress.refused.slow-caller"] == 1, context.metrics.totals
