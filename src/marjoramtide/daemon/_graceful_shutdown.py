"""The graceful shutdown of a node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from marjoramtide.errors import ErrorCode

if TYPE_CHECKING:
    from marjoramtide.daemon._node import Node

log = structlog.get_logger()

# Wait for requests that other nodes sent before they learned of the shutdown, in seconds.
IN_TRANSIT_WAIT_S = 0.3
# Share of the shutdown grace in which requests may finish; the rest is for leaving the membership
# and closing connections.
DRAIN_SHARE = 0.9
# Share of the linger time in which the backend server still gets new requests.
# Failure: in a rolling restart with a second between nodes, each node leaves its backend server
# idle for 3.8 s, from the signal until its successor is up: more than half of the servers are idle
# at a time, and the others reject requests that these could have run. With this share, requests
# that have begun by then still have 3.8 s to finish.
KEEP_SERVING_SHARE = 0.7
# Time to send final responses after that, in seconds: some milliseconds for each of a thousand.
FINAL_RESPONSES_S = 0.1
# Share of the shutdown grace after which no other process is waited for.
SHUTDOWN_SHARE = 0.97


async def shut_down_gracefully(node: Node) -> None:
    """Reject new requests, finish those in flight, then leave the membership."""
    log.info("daemon.stopping", in_progress=len(node.serving.in_progress))
    now = node.clock.monotonic()
    begun_at = now if node.stop_signal_at is None else node.stop_signal_at
    deadline_at = begun_at + node.stop_grace_s * SHUTDOWN_SHARE
    drain_s = max(0.0, begun_at + node.stop_grace_s * DRAIN_SHARE - now)
    node.is_stopping = True
    node.ingress.is_draining = True
    linger_s = min(node.interface.stop_linger_s, node.stop_grace_s / 2)
    try:
        async with asyncio.timeout(drain_s):
            if linger_s:
                await asyncio.sleep(linger_s * KEEP_SERVING_SHARE)
            node.stop_serving()
            await asyncio.sleep(linger_s * (1 - KEEP_SERVING_SHARE))
            await node.ingress.start_draining()
            # Requests that other nodes sent before they learned of the shutdown still get a
            # "not run" response. A broken connection would make the outcome unknown, which is a
            # failure for requests that are not idempotent.
            await asyncio.sleep(IN_TRANSIT_WAIT_S)
            node.ingress.is_stopping = True
            await node.ingress.wait_drained()
            await node.serving.idle.wait()
            await node.peer_server.wait_drained()
            await node.idempotency_dispatcher.drain()
    except TimeoutError:
        log.warning("daemon.stop_cut", code=ErrorCode.DEADLINE, after_s=node.stop_grace_s)
        await fail_remaining_requests(node)
    await asyncio.gather(leave_fleet(node, deadline_at), node.ingress.close())
    await close_in_time(node, deadline_at)
    log.info("daemon.stopped")


async def close_in_time(node: Node, deadline_at: float) -> None:
    """Close what is left, but no later than the grace allows.

    Failure: clients keep requests and connections of other ports open. Each server waits for its
    own, and the process is killed amid that.
    """
    try:
        async with asyncio.timeout(max(0.0, deadline_at - node.clock.monotonic())):
            await node.close()
    except TimeoutError:
        log.warning("daemon.close_cut", code=ErrorCode.DEADLINE)


async def fail_remaining_requests(node: Node) -> None:
    """Send callers a final response for requests that did not finish within the grace.

    Failure: a request with a long deadline waits in the queue of another node until this process is
    killed, and its caller sees a broken connection and never learns the outcome.
    """
    node.ingress.discard_input()
    node.dispatcher.expire_all()
    try:
        async with asyncio.timeout(FINAL_RESPONSES_S):
            await node.ingress.wait_drained()
    except TimeoutError:
        log.warning(
            "daemon.final_responses_cut", code=ErrorCode.DEADLINE, left=node.ingress.in_progress
        )


async def leave_fleet(node: Node, deadline_at: float) -> None:
    """Leave the membership, and remove the announcement from the store if there is time.

    Failure: the store is down, its call takes two seconds, and the process is killed with callers'
    connections open. Other nodes remove an announcement that is left in the store.
    """
    try:
        async with asyncio.timeout(max(0.0, deadline_at - node.clock.monotonic())):
            await node.membership.stop()
    except TimeoutError:
        log.warning("daemon.announcement_not_removed", code=ErrorCode.DEADLINE)
