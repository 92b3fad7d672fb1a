"""The planned stop of a node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from marjoramtide.errors import ErrorCode

if TYPE_CHECKING:
    from marjoramtide.daemon._node import Node

log = structlog.get_logger()

# For requests that others have sent before they heard, in seconds.
LEAVE_PAUSE_S = 0.3
# The share of the time for a planned stop in which requests may end; the rest is for telling the
# others and for closing what is open.
STOP_SHARE = 0.9
# The share of the time in which callers are still sent here, for which the own backend server still
# gets work. Failure: nodes are stopped in turn, a second apart, and each leaves its backend server
# idle from the signal until its successor is up, 3.8 s in all: of 7 servers 4 stand idle at a time,
# and the rest refuses what these could have run. What has begun by then has 3.8 s of 5.4 s to end.
SERVE_ON_SHARE = 0.7
# For the last answers when that time is over, in seconds: some milliseconds for each of a thousand.
LAST_ANSWERS_S = 0.1
# The share of the time for a planned stop after which nothing outside is waited for any more.
LAST_SHARE = 0.97


async def stop_as_planned(node: Node) -> None:
    """Refuse what is new, finish what is in progress, then leave."""
    log.info("daemon.stopping", in_progress=len(node.serving.in_progress))
    ends_at = node.clock.monotonic() + node.stop_grace_s * LAST_SHARE
    node.stopping = True
    node.ingress.is_draining = True
    linger_s = min(node.interface.stop_linger_s, node.stop_grace_s / 2)
    try:
        async with asyncio.timeout(node.stop_grace_s * STOP_SHARE):
            if linger_s:
                await asyncio.sleep(linger_s * SERVE_ON_SHARE)
            node.end_serving()
            await asyncio.sleep(linger_s * (1 - SERVE_ON_SHARE))
            await node.ingress.start_draining()
            # Requests that others sent before they heard still get a "not run" in place of a
            # broken connection, which would be an unknown outcome to a booking.
            await asyncio.sleep(LEAVE_PAUSE_S)
            node.ingress.is_stopping = True
            await node.ingress.wait_drained()
            await node.serving.idle.wait()
            await node.peer_server.wait_drained()
            await node.claim_gate.drain()
    except TimeoutError:
        log.warning("daemon.stop_cut", code=ErrorCode.DEADLINE, after_s=node.stop_grace_s)
        await answer_the_rest(node)
    await leave_the_fleet(node, ends_at)
    await node.ingress.close()
    await node.close()
    log.info("daemon.stopped")


async def answer_the_rest(node: Node) -> None:
    """Give callers a final answer to what the time for the stop did not suffice for.

    Failure: a lookup with a long deadline waits in the queue of another node until the process is
    ended by force, and its caller, whose connection breaks, never hears what became of it.
    """
    node.dispatcher.expire_all()
    try:
        async with asyncio.timeout(LAST_ANSWERS_S):
            await node.ingress.wait_drained()
    except TimeoutError:
        log.warning("daemon.answers_cut", code=ErrorCode.DEADLINE, left=node.ingress.in_progress)


async def leave_the_fleet(node: Node, ends_at: float) -> None:
    """Tell the others, and take the announcement back as far as there is time.

    Failure: the store is down, its call takes two seconds, and the process is ended by force with
    callers' connections open. What stays behind in the store is removed by others.
    """
    try:
        async with asyncio.timeout(max(0.0, ends_at - node.clock.monotonic())):
            await node.membership.stop()
    except TimeoutError:
        log.warning("daemon.announcement_left", code=ErrorCode.DEADLINE)
