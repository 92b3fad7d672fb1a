"""Steps that hold the transport to the backend server against a scripted one."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestBody,
    Response,
    UnknownOutcomeError,
    inline_body,
    stream_body,
)
from marjoramtide.serving import HttpTransport

use_step_matcher("parse")

CONNECTIONS = 10
PAUSE_S = 0.05
END_S = 5.0


class ScriptedServer:
    """Plays the same script for each request it gets: text to send, ``pause`` and ``close``."""

    def __init__(self, script: str) -> None:
        parts = re.split(r"\s?\bthen\b\s?", script)
        self.script = [part.encode().decode("unicode_escape").encode("latin-1") for part in parts]
        self.connections = 0
        self.received = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            while data := await reader.read(65536):
                self.received += data
                if self.script == [b"nothing"]:
                    continue
                for step in self.script:
                    if step == b"close":
                        return
                    if step == b"pause":
                        await asyncio.sleep(PAUSE_S)
                    else:
                        writer.write(step)
                        await writer.drain()


@given("a scripted backend server that answers {script}")
def start_scripted(context: Any, script: str) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.scripted = ScriptedServer(script)

    async def start() -> None:
        listener = await asyncio.start_server(context.scripted.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        context.transport = HttpTransport(f"{host}:{port}", CONNECTIONS)
        context.listener_close = partial(stop, listener)

    context.runner.run(start())

    async def close() -> None:
        await context.transport.close()
        await asyncio.sleep(PAUSE_S)

    context.cleanup.callback(lambda: context.runner.run(close()))


@given("a scripted backend server that has gone")
def gone_server(context: Any) -> None:
    start_scripted(context, "nothing")
    context.runner.run(context.listener_close())


def make_request(method: str = "GET", value: str = "x") -> Request:
    headers = (("Host", "mapdesk"), ("X-Test", value))
    return Request("mapdesk", method, "/", headers, urgent=False, idempotent=False, deadline=0.0)


async def stop(listener: asyncio.Server) -> None:
    listener.close()
    await listener.wait_closed()


async def exchange(context: Any, request: Request, body: RequestBody) -> Response | Exception:
    """Send a request; return its whole answer or how it failed."""
    context.begun = False

    def begun() -> None:
        context.begun = True

    try:
        async with asyncio.timeout(END_S):
            answer = await context.transport.send(request, body, 1000.0, begun)
            if answer.stream is not None:
                answer.body = b"".join([data async for data in answer.stream])
    except (NotRunError, UnknownOutcomeError) as error:
        return error
    # Longer than the pauses of a script, so that what it sends later has arrived.
    await asyncio.sleep(PAUSE_S * 3)
    return answer


@when("a GET goes to the scripted backend server")
@when("another GET goes to the scripted backend server")
def get_scripted(context: Any) -> None:
    context.ended = context.runner.run(exchange(context, make_request(), inline_body()))


@when('a GET with the header value "{value}" goes to the scripted backend server')
def get_with_header(context: Any, value: str) -> None:
    request = make_request(value=value.encode().decode("unicode_escape"))
    context.ended = context.runner.run(exchange(context, request, inline_body()))


@when("a GET to the scripted backend server is cancelled before its answer")
def cancel_get(context: Any) -> None:
    async def cancel() -> None:
        task = asyncio.create_task(exchange(context, make_request(), inline_body()))
        await asyncio.sleep(PAUSE_S / 2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.runner.run(cancel())


@when("{count:d} GETs hang at the scripted backend server")
def hang_gets(context: Any, count: int) -> None:
    async def begin() -> None:
        context.hanging = [
            asyncio.create_task(exchange(context, make_request(), inline_body()))
            for _ in range(count)
        ]
        while context.scripted.received.count(b" HTTP/1.1\r\n") < count:
            await asyncio.sleep(PAUSE_S / 10)

    context.runner.run(begin())


@when("a POST announces {length:d} bytes and sends {sent:d} to the scripted backend server")
def post_other_length(context: Any, length: int, sent: int) -> None:
    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(sent // 5):
            yield b"12345"

    body = stream_body(chunks(), length)
    context.ended = context.runner.run(exchange(context, make_request("POST"), body))


@then('its answer has status {status:d} and the body "{body}"')
def check_answer(context: Any, status: int, body: str) -> None:
    assert isinstance(context.ended, Response), repr(context.ended)
    assert (context.ended.status, context.ended.body) == (status, body.encode()), context.ended


@then("its outcome is unknown with the code {code}")
def check_unknown(context: Any, code: str) -> None:
    assert isinstance(context.ended, UnknownOutcomeError), repr(context.ended)
    assert context.ended.code == code, context.ended.code


@then("its outcome is not run with the code {code}")
def check_not_run(context: Any, code: str) -> None:
    assert isinstance(context.ended, NotRunError), repr(context.ended)
    assert context.ended.code == code, context.ended.code


@then("the request never counted as begun")
def check_not_begun(context: Any) -> None:
    assert not context.begun


@then("the scripted backend server got {count:d} request")
@then("the scripted backend server got {count:d} requests")
def check_requests(context: Any, count: int) -> None:
    got = context.scripted.received.count(b" HTTP/1.1\r\n")
    assert got == count, context.scripted.received


@then("the scripted backend server got {count:d} connections")
def check_connections(context: Any, count: int) -> None:
    assert context.scripted.connections == count, context.scripted.connections


@then("the scripted backend server got at most {count:d} bytes of body")
def check_body(context: Any, count: int) -> None:
    body = context.scripted.received.partition(b"\r\n\r\n")[2]
    assert len(body) <= count, body


@then("its refusal tells to come back after {told}")
def then_come_back(context: Any, told: str) -> None:
    assert isinstance(context.ended, NotRunError), repr(context.ended)
    wanted = None if told == "nothing" else int(told.removesuffix(" ms"))
    assert context.ended.retry_after_ms == wanted, context.ended.retry_after_ms
