"""Steps that test the HTTP transport against a scripted backend server."""

import asyncio
import contextlib
import re
import socket
import struct
from collections.abc import AsyncIterator
from functools import partial
from typing import Any
from unittest.mock import patch

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
from marjoramtide.serving._backend_connection import BackendConnection
from marjoramtide.serving._close_reason import CloseReason

use_step_matcher("parse")

MAX_CONNECTIONS = 10
PAUSE_S = 0.05
EXCHANGE_TIMEOUT_S = 5.0
COUNTED_BYTES = re.compile(rb"\b(\d+) bytes$")


def repeated_bytes(match: re.Match[bytes]) -> bytes:
    return b"x" * int(match[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class ScriptedServer:
    """Plays the same script for each request.

    A script has texts to send, ``N bytes``, ``pause``, ``close``, ``reset``, and ``hang``, which
    sends nothing more and keeps the connection open.
    """

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
                    if step == b"reset":
                        await asyncio.sleep(PAUSE_S)
                        reset(writer)
                        return
                    if step == b"hang":
                        await reader.read()
                        return
                    if step == b"pause":
                        await asyncio.sleep(PAUSE_S)
                    else:
                        writer.write(COUNTED_BYTES.sub(repeated_bytes, step))
                        await writer.drain()


@given("a scripted backend server that answers {script}")
def start_scripted(context: Any, script: str) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.scripted = ScriptedServer(script)

    async def start() -> None:
        listener = await asyncio.start_server(context.scripted.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        context.transport = HttpTransport(f"{host}:{port}", MAX_CONNECTIONS)
        context.listener_close = partial(stop, listener)

    context.runner.run(start())

    async def close() -> None:
        await context.transport.close()
        await asyncio.sleep(PAUSE_S)

    context.cleanup.callback(lambda: context.runner.run(close()))


@given("a scripted backend server that has gone")
def start_closed(context: Any) -> None:
    start_scripted(context, "nothing")
    context.runner.run(context.listener_close())


def make_request(method: str = "GET", value: str = "x") -> Request:
    headers = (("Host", "mapdesk"), ("X-Test", value))
    return Request("mapdesk", method, "/", headers, urgent=False, idempotent=False, deadline=0.0)


async def stop(listener: asyncio.Server) -> None:
    listener.close()
    await listener.wait_closed()


async def exchange(context: Any, request: Request, body: RequestBody) -> Response | Exception:
    """Send a request; return its complete response or the error."""
    context.dispatched = False

    def on_dispatch() -> None:
        context.dispatched = True

    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            answer = await context.transport.send(request, body, 1000.0, on_dispatch)
            if answer.stream is not None:
                answer.body = b"".join([data async for data in answer.stream])
    except (NotRunError, UnknownOutcomeError) as error:
        return error
    # Longer than the pauses of a script, so that everything it sends later has arrived.
    await asyncio.sleep(PAUSE_S * 3)
    return answer


@when("a GET goes to the scripted backend server")
@when("another GET goes to the scripted backend server")
def get_scripted(context: Any) -> None:
    context.result = context.runner.run(exchange(context, make_request(), inline_body()))


@when('a GET with the header value "{value}" goes to the scripted backend server')
def get_with_header(context: Any, value: str) -> None:
    request = make_request(value=value.encode().decode("unicode_escape"))
    context.result = context.runner.run(exchange(context, request, inline_body()))


@when("a GET to the scripted backend server is cancelled before its answer")
def cancel_get(context: Any) -> None:
    async def cancel() -> None:
        task = asyncio.create_task(exchange(context, make_request(), inline_body()))
        await asyncio.sleep(PAUSE_S / 2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.runner.run(cancel())


async def read_answer(context: Any, answers: list[Response]) -> Response | Exception:
    """Send a GET and read its answer; ``answers`` gets it once its head has arrived."""
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            answer = await context.transport.send(make_request(), inline_body(), 1000.0, ignore)
            answers.append(answer)
            if answer.stream is not None:
                answer.body = b"".join([data async for data in answer.stream])
    except (NotRunError, UnknownOutcomeError) as error:
        return error
    return answer


def ignore() -> None:
    """Take no note of the dispatch."""


async def end_amid_answer(context: Any, event: str, answers: list[Response]) -> None:
    """Let an event happen while an answer is being received."""
    connection = next(iter(context.transport.connections), None)
    match event:
        case "a new process replaces it":
            context.transport.server_replaced()
        case "the node stops":
            await context.transport.close()
        case "the node gives the answer up":
            for answer in answers:
                await answer.close()
            if not answers and connection is not None:
                connection.abort(CloseReason.RESPONSE_CANCELLED)


@when("a GET goes to the scripted backend server, and amid its answer {event}")
def get_cut(context: Any, event: str) -> None:
    async def work() -> Response | Exception:
        answers: list[Response] = []
        reading = asyncio.create_task(read_answer(context, answers))
        await asyncio.sleep(PAUSE_S)
        await end_amid_answer(context, event, answers)
        return await reading

    context.result = context.runner.run(work())


@when("its health is read, and amid the answer a new process replaces it")
def read_health_cut(context: Any) -> None:
    async def work() -> object:
        reading = asyncio.create_task(context.transport.read("/health", EXCHANGE_TIMEOUT_S))
        await asyncio.sleep(PAUSE_S)
        context.transport.server_replaced()
        results = await asyncio.gather(reading, return_exceptions=True)
        return results[0]

    context.result = context.runner.run(work())


@when("a GET goes to the scripted backend server, and a new process replaces it once it has ended")
def get_ended(context: Any) -> None:
    async def work() -> Response | Exception:
        eof = BackendConnection.eof_received

        def eof_received(connection: BackendConnection) -> None:
            eof(connection)
            context.transport.server_replaced()

        with patch.object(BackendConnection, "eof_received", eof_received):
            return await read_answer(context, [])

    context.result = context.runner.run(work())


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
    context.result = context.runner.run(exchange(context, make_request("POST"), body))


@then('its answer has status {status:d} and the body "{body}"')
def check_answer(context: Any, status: int, body: str) -> None:
    assert isinstance(context.result, Response), repr(context.result)
    assert (context.result.status, context.result.body) == (status, body.encode()), context.result


@then("its outcome is unknown with the code {code}")
def check_unknown(context: Any, code: str) -> None:
    assert isinstance(context.result, UnknownOutcomeError), repr(context.result)
    assert context.result.code == code, context.result.code


@then("its outcome is not run with the code {code}")
def check_not_run(context: Any, code: str) -> None:
    assert isinstance(context.result, NotRunError), repr(context.result)
    assert context.result.code == code, context.result.code


@then("the request was never dispatched")
def check_not_dispatched(context: Any) -> None:
    assert not context.dispatched


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


@then("its rejection asks for a retry after {told}")
def check_retry_after(context: Any, told: str) -> None:
    assert isinstance(context.result, NotRunError), repr(context.result)
    expected = None if told == "nothing" else int(told.removesuffix(" ms"))
    assert context.result.retry_after_ms == expected, context.result.retry_after_ms
