"""Steps with a backend server that sends bytes without end, in a thread of its own."""

import asyncio
import re
import socket
import threading
import time
import tracemalloc
from typing import Any
from unittest.mock import patch

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.errors import MarjoramtideError
from marjoramtide.exchange import NotRunError, Request, Response, UnknownOutcomeError, inline_body
from marjoramtide.serving import HttpTransport
from marjoramtide.serving._backend_connection import BackendConnection

use_step_matcher("parse")

MAX_CONNECTIONS = 10
EXCHANGE_TIMEOUT_S = 3.0
PIECE_BYTES = 64 * 1024
REPEATED = re.compile(rb"\{(\d+)\}")


class EndlessServer:
    """Answers with ``begin``, after a pause ``more``, and then ``rest`` until its caller closes.

    ``closed`` is set when that happens.
    """

    def __init__(self, begin: bytes, more: bytes, rest: bytes, pause_s: float) -> None:
        self.begin = begin
        self.more = more
        self.rest = rest * (PIECE_BYTES // len(rest))
        self.pause_s = pause_s
        self.closed = threading.Event()
        self.closed_at = 0.0
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        with connection:
            try:
                connection.recv(65536)
                connection.sendall(self.begin)
                time.sleep(self.pause_s)
                connection.sendall(self.more)
                while True:
                    connection.sendall(self.rest)
            except OSError:
                self.closed_at = time.monotonic()
                self.closed.set()


class ReadMeter:
    """Counts the bytes that connections to the server have read."""

    def __init__(self) -> None:
        self.count = 0

    def wrap(self, data_received: Any) -> Any:
        def count(connection: BackendConnection, data: bytes) -> None:
            self.count += len(data)
            data_received(connection, data)

        return count


def unescape(text: str) -> bytes:
    data = text.encode().decode("unicode_escape").encode("latin-1")
    return REPEATED.sub(lambda match: b"x" * int(match[1]), data)


def start(context: Any, begin: str, rest: str, more: str = "", pause_s: float = 0.0) -> None:
    context.endless = EndlessServer(unescape(begin), unescape(more), unescape(rest), pause_s)
    context.cleanup.callback(context.endless.listener.close)
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.meter = ReadMeter()
    counting = context.meter.wrap(BackendConnection.data_received)
    context.cleanup.enter_context(patch.object(BackendConnection, "data_received", counting))
    host, port = context.endless.listener.getsockname()
    context.transport = context.runner.run(make_transport(f"{host}:{port}"))
    context.cleanup.callback(lambda: context.runner.run(context.transport.close()))
    tracemalloc.start()
    context.cleanup.callback(tracemalloc.stop)


async def make_transport(address: str) -> HttpTransport:
    return HttpTransport(address, MAX_CONNECTIONS)


@given('a backend server that sends "{begin}", and then {rest} without end')
def given_endless(context: Any, begin: str, rest: str) -> None:
    start(context, begin, rest)


@given(
    'a backend server that sends two parts, "{begin}" and {pause:g} s later "{more}", '
    "and goes on with {rest}"
)
def given_endless_later(context: Any, begin: str, pause: float, more: str, rest: str) -> None:
    start(context, begin, rest, more, pause)


async def send(context: Any) -> Response | Exception:
    request = Request("s", "POST", "/", (("Host", "s"),), False, False, deadline=0.0)
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            return await context.transport.send(request, inline_body(b"x"), 1000.0, int)
    except (NotRunError, UnknownOutcomeError, TimeoutError) as error:
        return error


def mark_end(context: Any) -> None:
    context.ended_at = time.monotonic()
    context.peak_bytes = tracemalloc.get_traced_memory()[1]


@when("a booking is sent to it")
def send_booking(context: Any) -> None:
    context.ended_at = time.monotonic()
    context.result = context.runner.run(send(context))
    context.peak_bytes = tracemalloc.get_traced_memory()[1]


@when("a booking is sent to it, and the body of its answer is left unread for {seconds:g} s")
def send_booking_unread(context: Any, seconds: float) -> None:
    async def work() -> None:
        answer = await send(context)
        assert isinstance(answer, Response), repr(answer)
        await asyncio.sleep(seconds)
        mark_end(context)
        context.result = answer

    context.runner.run(work())


@when("its health is read for at most {seconds:g} s")
def read_health(context: Any, seconds: float) -> None:
    context.ended_at = time.monotonic()

    async def work() -> None:
        try:
            await context.transport.read("/health", seconds)
        except (MarjoramtideError, TimeoutError) as error:
            context.result = error

    context.runner.run(work())
    context.peak_bytes = tracemalloc.get_traced_memory()[1]


@when("a booking is sent to it, and its connection waits for {seconds:g} s")
def send_booking_and_wait(context: Any, seconds: float) -> None:
    async def work() -> None:
        context.result = await send(context)
        await asyncio.sleep(seconds)

    context.ended_at = time.monotonic()
    context.runner.run(work())
    context.peak_bytes = tracemalloc.get_traced_memory()[1]


def check_closed(context: Any, seconds: float) -> None:
    context.runner.run(asyncio.to_thread(context.endless.closed.wait, EXCHANGE_TIMEOUT_S))
    assert context.endless.closed.is_set(), "the node has not closed the connection"
    assert context.endless.closed_at - context.ended_at < seconds, vars(context.endless)


@then("its outcome is unknown, and it has closed within {seconds:g} s")
def is_unknown(context: Any, seconds: float) -> None:
    assert isinstance(context.result, UnknownOutcomeError), repr(context.result)
    check_closed(context, seconds)


@then("it has closed within {seconds:g} s")
def has_closed(context: Any, seconds: float) -> None:
    check_closed(context, seconds)


@then("it has closed within {seconds:g} s of the end of the exchange")
def closed_at_end(context: Any, seconds: float) -> None:
    async def close() -> None:
        context.ended_at = time.monotonic()
        await context.result.close()

    context.runner.run(close())
    check_closed(context, seconds)


@then("the node has read at most {read:d} bytes, and kept at most {kept:d}")
def has_read(context: Any, read: int, kept: int) -> None:
    assert context.meter.count <= read, context.meter.count
    assert context.peak_bytes <= kept, context.peak_bytes


@then("the body of its answer has {size:d} bytes, and ends")
def body_ends(context: Any, size: int) -> None:
    async def work() -> int:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            return sum([len(data) async for data in context.result.stream])

    found = context.runner.run(work())
    assert found == size, found
