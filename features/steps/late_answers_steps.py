"""Steps on second answers of a backend server that arrive late."""

import asyncio
import contextlib
from collections import Counter
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import route
from features.steps.platform_node_steps import LONG_TIMEOUTS, all_at, fleet_node, run
from marjoramtide.exchange import NotRunError, Request, Response, UnknownOutcomeError, inline_body
from marjoramtide.platform._backends import PlatformBackendProtocol
from marjoramtide.serving import HttpTransport

use_step_matcher("parse")

EXCHANGE_TIMEOUT_S = 5.0
REJECTION = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
ANSWER = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
HEALTH_OF_LEAVING = "HTTP/1.1 503 Leaving\r\nX-Instance-Id: i-1\r\n"


class AnsweringServer:
    """Answers each request by ``answers`` in turn, then by ``ANSWER``, with the request's number.

    Each is a head without its end. ``repeats_first`` is whether the first answer is sent again at
    the next request on its connection, and ``unnamed`` the number of the request whose answer names
    no request id.
    """

    def __init__(self) -> None:
        self.answers: list[str] = []
        self.repeats_first = False
        self.unnamed: int | None = None
        self.count = 0
        self.connections = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.most_open = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open.add(writer)
        self.most_open = max(self.most_open, len(self.open))
        copy = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                writer.write(copy)
                answer = self.answer(head)
                copy = answer if self.repeats_first and self.count == 1 else b""
                writer.write(answer)
        self.open.discard(writer)
        writer.close()

    def answer(self, head: str) -> bytes:
        self.count += 1
        text = self.answers.pop(0) if self.answers else ANSWER
        lines = [line for line in head.split("\r\n") if line.startswith("X-Attempt-Id")]
        if self.count == self.unnamed:
            lines = []
        body = str(self.count)
        fields = [*lines, f"Content-Length: {len(body)}", "", body]
        return (text + "\r\n".join(fields)).encode()


@given("a server of the platform to which {limit:d} connections may be open")
def given_server(context: Any, limit: int) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.server = AnsweringServer()

    async def start() -> None:
        listener = await asyncio.start_server(context.server.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        context.transport = HttpTransport(f"{host}:{port}", limit, PlatformBackendProtocol())

    run(context, start())
    context.cleanup.callback(lambda: run(context, context.transport.close()))


async def exchange(
    context: Any, request_id: str, *, is_idempotent: bool = False
) -> Response | Exception:
    headers = (("X-Attempt-Id", request_id),)
    request = Request(
        "s", "POST", "/", headers, False, is_idempotent, deadline=0.0, request_id=request_id
    )
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            return await context.transport.send(request, inline_body(b"x"), 1000.0, int)
    except (NotRunError, UnknownOutcomeError) as error:
        return error


@when('two requests with the id "{name}" are sent, and the first one\'s {kind} comes again, late')
def send_twice(context: Any, name: str, kind: str) -> None:
    context.server.repeats_first = True
    context.server.answers = [REJECTION if kind == "rejection" else ANSWER]

    async def send() -> None:
        await exchange(context, name)
        context.result = await exchange(context, name)

    run(context, send())


@when("{before:d} requests are sent to it, and one whose {kind} names no request")
def send_unnamed(context: Any, before: int, kind: str) -> None:
    context.server.unnamed = before + 1
    context.server.answers = [ANSWER] * before + [REJECTION if kind == "rejection" else ANSWER]

    async def send() -> None:
        for number in range(before):
            await exchange(context, f"earlier-{number}")
        context.result = await exchange(context, "a")

    run(context, send())


@when("its health is read while it leaves, that answer comes again, late, and a request is sent")
def read_health_first(context: Any) -> None:
    context.server.repeats_first = True
    context.server.answers = [HEALTH_OF_LEAVING]

    async def send() -> None:
        await context.transport.read("/health", EXCHANGE_TIMEOUT_S)
        context.result = await exchange(context, "a")

    run(context, send())


@when("{count:d} requests with different ids are sent to it, one after the other")
def send_many(context: Any, count: int) -> None:
    async def send() -> None:
        for number in range(count):
            answer = await exchange(context, f"id-{number}")
            assert isinstance(answer, Response), repr(answer)

    run(context, send())


@then("the second one gets its own answer")
def gets_second(context: Any) -> None:
    assert isinstance(context.result, Response), repr(context.result)
    assert (context.result.status, context.result.body) == (200, b"2"), context.result


@then("it ends with {result}")
def gets_result(context: Any, result: str) -> None:
    wanted = {
        "its own answer": Response,
        "its rejection": NotRunError,
        "an unknown outcome": UnknownOutcomeError,
    }
    assert isinstance(context.result, wanted[result]), repr(context.result)


@then("the server got {count:d} connections, at most {most:d} at once")
def got_connections(context: Any, count: int, most: int) -> None:
    server = context.server
    assert (server.connections, server.most_open <= most) == (count, True), vars(server)


@given('a route "{prefix}" to mapdesk for bookings with {attempts:d} attempts')
def given_booking_route(context: Any, prefix: str, attempts: int) -> None:
    fields = LONG_TIMEOUTS | {"MaxAttempts": attempts}
    bookings = route(prefix, {"mapdesk": 1}, kind="non_idempotent", **fields)
    context.fleet.configure(5, [*context.fleet.routes, bookings])
    run(context, context.fleet.wait_for(lambda: all_at(context, 5)))


@given(
    "the server of node {number:d} rejects the next booking, and sends the rejection again, late"
)
def given_late_rejection(context: Any, number: int) -> None:
    server = fleet_node(context, number).server
    server.rejections = 1
    server.duplicate_responses = 1


@given(
    '{count:d} bookings were made at "{path}" through node {number:d}, '
    "so that a second attempt is allowed"
)
def given_earlier_bookings(context: Any, count: int, path: str, number: int) -> None:
    for _ in range(count):
        client_books_bytes(context, 1, path, number)
        assert context.result.status == 200, context.result


@when('a client books {size:d} bytes at "{path}" through node {number:d}')
def client_books_bytes(context: Any, size: int, path: str, number: int) -> None:
    work = context.fleet.call(
        fleet_node(context, number),
        path,
        method="POST",
        body=b"b" * size,
        headers={"X-Deadline-Ms": "9000"},
    )
    context.result = run(context, work)


@then("it ran once")
def ran_once(context: Any) -> None:
    executed = fleet_node(context, 1).server.executed_headers
    ran = Counter(headers["x-attempt-id"] for headers in executed)
    assert ran[context.result.attempt] == 1, ran
