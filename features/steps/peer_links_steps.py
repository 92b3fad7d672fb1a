"""Steps on both sides of a connection between nodes, without processes."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, cast

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]
from websockets.asyncio.server import ServerConnection, serve

from features.edge.peer_attacks import request
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.exchange import (
    MAX_BYTES_WITH_HEAD,
    Request,
    RequestBody,
    RequestHandler,
    Response,
    UnknownOutcomeError,
    inline_body,
)
from marjoramtide.peers import PeerClient
from marjoramtide.peers._codec import encode
from marjoramtide.peers._handshake import open_as_server
from marjoramtide.peers._messages import CancelMessage
from marjoramtide.peers._session import Session

use_step_matcher("parse")

END_S = 1.0  # below every deadline and timeout that could also end a wait
STUCK_END_S = 8.0  # far below the deadlines of requests
KEY = "k" * 32


class SilentHandler(RequestHandler):
    """Accepts every request and never responds."""

    async def handle(self, request: Request, body: RequestBody) -> Response:
        await asyncio.get_running_loop().create_future()
        raise AssertionError("a silent handler answered")


async def arrived_together(frames: list[bytes]) -> AsyncIterator[bytes]:
    """Yield frames that are in the socket already, without an event loop iteration between them.

    The connection stays open afterwards.
    """
    for frame in frames:
        yield frame
    await asyncio.Event().wait()


@given("a connection in whose socket {count:d} requests stand, each with its cancel")
def given_session(context: Any, count: int) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    frames = [
        frame
        for number in range(1, count + 1)
        for frame in (request(number, remaining_ms=60000.0), encode(CancelMessage(number)))
    ]
    clock = SystemClock()
    socket = cast(ServerConnection, arrived_together(frames))
    context.session = Session(socket, "peer", SilentHandler(), {}, clock, FreezeDetector(clock))


@when("its session reads them")
def when_read(context: Any) -> None:
    async def work() -> None:
        reading = asyncio.create_task(context.session.run())
        context.cleanup.callback(reading.cancel)
        while not context.session.requests:
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(END_S):
                await context.session.idle.wait()
        except TimeoutError:
            pass

    context.runner.run(work())


@then("none of them is held as in progress there")
def then_none_held(context: Any) -> None:
    assert not context.session.requests and context.session.idle.is_set(), context.session.requests


async def accept_and_stop_reading(socket: ServerConnection) -> None:
    await open_as_server(socket, KEY, "test")
    socket.transport.pause_reading()
    await asyncio.Event().wait()


def send_to_peer(context: Any, size: int, urgent: bool) -> "asyncio.Task[Response]":
    deadline = context.client.clock.monotonic() + 60.0
    request = Request("s", "POST", "/", (), urgent, False, deadline)
    work = context.client.request(context.peer, request, inline_body(bytes(size)))
    return asyncio.create_task(work)


async def fill_connections(context: Any) -> None:
    """Send requests until both connections' send buffers are full; they wait for responses."""
    server = await serve(
        accept_and_stop_reading, "127.0.0.1", 0, ping_interval=None, close_timeout=0.1
    )
    context.cleanup.callback(server.close, close_connections=False)
    context.peer = "{}:{}".format(*server.sockets[0].getsockname())
    context.client = PeerClient(KEY, SystemClock())
    context.waiting = []
    for urgent in (False, True):
        context.waiting.append(send_to_peer(context, 1, urgent))
        while len(context.client.links) < 1 + urgent:
            await asyncio.sleep(0.01)
        link = list(context.client.links.values())[-1]
        while not link.socket.paused:
            context.waiting.append(send_to_peer(context, MAX_BYTES_WITH_HEAD, urgent))
            await asyncio.sleep(0)


@given("full urgent and routine connections to a peer that has stopped reading")
def given_full(context: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.runner.run(fill_connections(context))


@when("a request that waits on them is cancelled")
def when_given_up(context: Any) -> None:
    async def work() -> None:
        task = context.waiting[-1]
        task.cancel()
        await asyncio.wait([task], timeout=END_S)

    context.runner.run(work())


@then("its caller continues at once")
def then_goes_on(context: Any) -> None:
    assert context.waiting[-1].cancelled(), context.waiting[-1]


@when("the peer is declared dead")
def when_dropped(context: Any) -> None:
    async def work() -> None:
        context.dropping = asyncio.create_task(context.client.abort_links(context.peer))
        await asyncio.wait(context.waiting, timeout=END_S)

    context.runner.run(work())


@when("the peer still does not read")
def when_stuck(context: Any) -> None:
    async def work() -> None:
        await asyncio.wait(context.waiting, timeout=STUCK_END_S)

    context.runner.run(work())


@then("the outcome of all waiting requests is unknown")
def then_all_unknown(context: Any) -> None:
    open_still = [task for task in context.waiting if not task.done()]
    assert not open_still, f"{len(open_still)} of {len(context.waiting)}"
    errors = [task.exception() for task in context.waiting]
    assert all(isinstance(error, UnknownOutcomeError) for error in errors), errors
