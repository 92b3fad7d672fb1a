"""Steps on both ends of a connection between nodes, without processes."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, cast

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]
from websockets.asyncio.server import ServerConnection

from features.edge.peer_attacks import request
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.exchange import Answer, Request, RequestBody, RequestHandler
from marjoramtide.peers._codec import encode
from marjoramtide.peers._messages import CancelMessage
from marjoramtide.peers._session import Session

use_step_matcher("parse")

END_S = 2.0  # far below every deadline and timeout that could end a wait instead


class SilentHandler(RequestHandler):
    """Begins every request and never answers."""

    async def handle(self, request: Request, body: RequestBody) -> Answer:
        await asyncio.get_running_loop().create_future()
        raise AssertionError("a silent handler answered")


async def arrived_together(frames: list[bytes]) -> AsyncIterator[bytes]:
    """Yield what stood in a socket, without a turn of the loop in between; then stay open."""
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
        while not context.session.served:
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(END_S):
                await context.session.idle.wait()
        except TimeoutError:
            pass

    context.runner.run(work())


@then("none of them is held as in progress there")
def then_none_held(context: Any) -> None:
    assert not context.session.served and context.session.idle.is_set(), context.session.served
