"""Steps on detecting that a node has crashed, over real connections, without processes."""

import asyncio
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.peer_nodes import listen_silently, open_peer_node, stop_slowly, until
from marjoramtide.exchange import Request, inline_body
from marjoramtide.membership import MemberState

use_step_matcher("parse")

# Until a node that does not respond is no longer probed.
PROBED_S = 0.8


@given("a node that another one has open connections to")
def given_two(context: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.peer_nodes, context.closing = [], []

    async def work() -> None:
        serving, other = [await open_peer_node(context, name) for name in ("serving", "other")]
        request = Request("mapdesk", "GET", "/", (), False, True, float("inf"))
        for urgent in (False, True):
            asking = attrs.evolve(request, urgent=urgent, deadline=loop_time() + 60.0)
            work = other.client.request(serving.member.peer_address, asking, inline_body())
            context.waiting.append(asyncio.ensure_future(work))
        await until(lambda: len(serving.sessions) == 2)

    async def close() -> None:
        for end in context.closing:
            await end()
        await asyncio.gather(*context.waiting, return_exceptions=True)

    context.waiting = []
    context.runner.run(work())
    context.cleanup.callback(lambda: context.runner.run(close()))


def loop_time() -> float:
    return asyncio.get_running_loop().time()


@when("{what}, and a request that it ran is lost")
def is_lost(context: Any, what: str) -> None:
    serving, other = context.peer_nodes
    member = serving.member

    async def work() -> None:
        nonlocal member
        match what:
            case "its process exits":
                serving.kill()
            case "its process exits, and accepts connections for 0.2 s":
                stop_slowly(serving, 0.2)
            case "it resets a connection":
                serving.sessions[0].transport.abort()
            case "its process is frozen":
                member = attrs.evolve(member, peer_address=listen_silently(context))
            case "it is known to leave, and its process exits":
                member = attrs.evolve(member, state=MemberState.LEAVING)
                serving.kill()
        # In the same iteration of the event loop, so no open connection has been read since.
        request = Request("mapdesk", "GET", "/", (), False, True, loop_time() + 60.0)
        await other.crash_detector.report_lost_request(member, request, inline_body(), loop_time())
        await asyncio.sleep(PROBED_S)

    context.runner.run(work())


@then("it is attributed {whom}")
def then_attributed(context: Any, whom: str) -> None:
    blamed = context.peer_nodes[1].blamed
    assert len(blamed) == (whom == "to that node"), blamed
