"""Steps on request bodies that are sent to another node."""

import asyncio
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]
from websockets.asyncio.server import ServerConnection, serve

from features.steps.peer_links_steps import KEY
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestBody,
    RequestHandler,
    Response,
    inline_body,
)
from marjoramtide.peers import PeerClient
from marjoramtide.peers._handshake import open_as_server
from marjoramtide.peers._messages import RequestChunk, RequestMessage
from marjoramtide.peers._session import Session

use_step_matcher("parse")

LEFT_S = 20.0


class RefusingHandler(RequestHandler):
    """Rejects every request as overloaded."""

    async def handle(self, request: Request, body: RequestBody) -> Response:
        raise NotRunError(ErrorCode.OVERLOADED, "no room", step="test")


class EchoHandler(RequestHandler):
    """Returns the request body."""

    async def handle(self, request: Request, body: RequestBody) -> Response:
        held = await body.buffered()
        assert held.inline is not None
        return Response(200, (), held.inline, len(held.inline))


class CountingSession(Session):
    """Counts the body bytes that are received."""

    body_bytes = 0

    def handle_message(self, message: Any) -> None:
        match message:
            case RequestMessage():
                self.body_bytes += len(message.body)
            case RequestChunk():
                self.body_bytes += len(message.data)
        super().handle_message(message)


def serve_peer(context: Any, handler: RequestHandler) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.sessions = []

    async def accept(socket: ServerConnection) -> None:
        await open_as_server(socket, KEY, "test")
        clock = SystemClock()
        session = CountingSession(socket, "peer", handler, {}, clock, FreezeDetector(clock))
        context.sessions.append(session)
        await session.run()

    async def start() -> None:
        server = await serve(accept, "127.0.0.1", 0, ping_interval=None, close_timeout=0.1)
        context.cleanup.callback(server.close, close_connections=False)
        context.peer = "{}:{}".format(*server.sockets[0].getsockname())
        context.client = PeerClient(KEY, SystemClock())

    context.runner.run(start())


@given("a node that rejects every request")
def given_refusing(context: Any) -> None:
    serve_peer(context, RefusingHandler())


@given("a node that echoes request bodies")
def given_echo(context: Any) -> None:
    serve_peer(context, EchoHandler())


@when("{count:d} uploads of {size:d} bytes are sent to it")
def when_uploaded(context: Any, count: int, size: int) -> None:
    client = context.client
    context.bodies = [bytes([number]) * size for number in range(count)]

    async def upload(data: bytes) -> Response:
        deadline = client.clock.monotonic() + LEFT_S
        request = Request("s", "POST", "/", (), False, False, deadline)
        return await client.request(context.peer, request, inline_body(data))

    async def send() -> None:
        uploads = [upload(data) for data in context.bodies]
        context.results = await asyncio.gather(*uploads, return_exceptions=True)

    context.runner.run(send())


@then("all of them were rejected as not run")
def then_refused(context: Any) -> None:
    assert all(isinstance(each, NotRunError) for each in context.results), context.results


@then("it was sent {size:d} bytes of their bodies")
def then_sent(context: Any, size: int) -> None:
    assert sum(each.body_bytes for each in context.sessions) == size


@then("each of them got its own body back")
def then_own(context: Any) -> None:
    assert [each.body for each in context.results] == context.bodies
