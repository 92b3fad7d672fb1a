"""Steps on connections for questions between nodes, over real sockets in one process."""

import asyncio
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.control_links import NoRequests
from marjoramtide.clock import FreezeDetector, SystemClock
from marjoramtide.peers import PeerClient, PeerControlChannel, PeerServer
from standins.free_port import free_port, loopback_host

use_step_matcher("parse")

KEY = "a key for connections that end"
END_S = 10.0
SUBJECT = "settings.pull"


class Pair:
    """A node that asks questions and one that answers them."""

    def __init__(self) -> None:
        clock = SystemClock()
        host = loopback_host()
        self.address = f"{host}:{free_port(host)}"
        self.server = PeerServer(KEY, clock, FreezeDetector(clock))
        self.server.handler = NoRequests()
        self.client = PeerClient(KEY, clock)
        self.channel = PeerControlChannel(self.client, self.server)
        self.answers: list[Any] = []
        self.links: set[int] = set()

    async def start(self, slow_s: float) -> None:
        async def answer(body: dict[str, Any]) -> dict[str, Any]:
            await asyncio.sleep(body["slow"] * slow_s)
            return body

        self.channel.register_handler(SUBJECT, answer)
        host, _, port = self.address.rpartition(":")
        await self.server.start(host, int(port))

    async def ask(self, number: int, slow: int) -> None:
        body = {"number": number, "slow": slow}
        self.answers.append(await self.channel.ask(self.address, SUBJECT, body, timeout=END_S))
        self.links |= {id(link) for link in self.client.links.values()}

    async def ended(self) -> None:
        async with asyncio.timeout(END_S):
            while self.client.links or self.server.sessions:
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        await self.client.close()
        await self.server.close()


@given("a node that listens for peers and answers questions after {slow_s:g} s")
def given_pair(context: Any, slow_s: float) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())

    async def start() -> Pair:
        pair = Pair()
        await pair.start(slow_s)
        return pair

    context.pair = context.runner.run(start())
    context.cleanup.callback(lambda: context.runner.run(context.pair.stop()))


@when("a peer asks it {count:d} times, each time after the connection was closed")
def when_asked_again(context: Any, count: int) -> None:
    async def work() -> None:
        for number in range(count):
            await context.pair.ask(number, slow=1)
            await context.pair.ended()

    context.runner.run(work())


@when("a peer asks it a question with a quick reply and one with a slow reply")
def when_asked_slowly(context: Any) -> None:
    async def work() -> None:
        await context.pair.ask(0, slow=0)
        await context.pair.ask(1, slow=1)

    context.runner.run(work())


@then("all {count:d} replies arrived and neither node has a connection open")
def then_all_came(context: Any, count: int) -> None:
    pair = context.pair
    assert [answer["number"] for answer in pair.answers] == list(range(count)), pair.answers
    assert not pair.client.links and not pair.server.sessions


@then("both replies arrived over one connection")
def then_one_connection(context: Any) -> None:
    assert [answer["number"] for answer in context.pair.answers] == [0, 1]
    assert len(context.pair.links) == 1, context.pair.links
