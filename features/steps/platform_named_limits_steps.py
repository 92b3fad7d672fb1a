"""Steps with real nodes beside backend servers that name limits, or say that they leave."""

import asyncio
import itertools
import time
from typing import Any

import attrs
from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.limits import EnteredRequest, NamedRate, fullest_window
from features.platform_harness import CallResult, Seat, route
from features.steps.platform_node_steps import run, start_fleet

use_step_matcher("parse")

DRAIN_S = 2.0
LAST_S = 4.0
LEFT_AFTER_S = 0.3


@attrs.frozen(slots=True)
class Lookup:
    """What became of a lookup: where it began and when, when it ended, in seconds, and how."""

    entry: str
    began: float
    ended: float
    result: CallResult


@attrs.define(slots=True, eq=False)
class LimitPlay:
    """Lookups that come evenly through all nodes, for as long as it is not ended."""

    fleet: Any
    lookups: list[Lookup] = attrs.Factory(list)
    entered: dict[str, tuple[str, float]] = attrs.Factory(dict)
    calls: list["asyncio.Task[None]"] = attrs.Factory(list)
    starts: dict[int, int] = attrs.Factory(dict)
    named: list[NamedRate] = attrs.Factory(list)
    limited: list[Seat] = attrs.Factory(list)
    down: set[int] = attrs.Factory(set)

    async def come(self, per_s: float) -> None:
        began = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(max(0.0, began + number / per_s - time.monotonic()))
            turn = number % len(self.fleet.seats)
            if turn not in self.down:
                self.calls.append(asyncio.create_task(self.call(turn, number)))

    async def call(self, turn: int, number: int) -> None:
        attempt = f"{number:016x}"
        entry = self.entry(turn)
        began = time.monotonic()
        self.entered[attempt] = entry, began
        try:
            result = await self.fleet.call(self.fleet.seats[turn], attempt=attempt)
        except OSError:
            return  # the node ended meanwhile
        self.lookups.append(Lookup(entry, began, time.monotonic(), result))

    def entry(self, turn: int) -> str:
        """Return the name of a node's present run."""
        return f"{turn}#{self.starts.get(turn, 0)}"

    def told(self, seat: Seat, header: str) -> dict[str, float]:
        """Return when each node had first passed on an answer of a server with a header."""
        ran = {each.attempt for each in seat.server.received}
        found: dict[str, float] = {}
        for each in self.lookups:
            if each.result.attempt in ran and header in each.result.headers:
                found[each.entry] = min(each.ended, found.get(each.entry, each.ended))
        return found

    def requests_at(self, seat: Seat) -> list[EnteredRequest]:
        return [
            EnteredRequest(each.at, self.entered[each.attempt][0])
            for each in seat.server.received
            if each.attempt in self.entered
        ]


@given("{count:d} servers on the platform that run lookups for {ms:d} ms")
def given_servers(context: Any, count: int, ms: int) -> None:
    fleet = start_fleet(context)

    async def begin() -> None:
        for number in range(count):
            zone = f"z{number % 2}"
            await fleet.add_seat("mapdesk", service_ms=float(ms), slots=18, data_centre=zone)
        fleet.configure(4, [route("/tiles/", {"mapdesk": 1}, MaxAttempts=2)])
        await fleet.settle()

    run(context, begin())
    context.play = LimitPlay(fleet)


@given("their health says what their answers do")
def given_stating(context: Any) -> None:
    for each in context.fleet.seats:
        each.server.health_states = True


@given("their health says nothing")
def given_silent(context: Any) -> None:
    for each in context.fleet.seats:
        each.server.health_states = False


@when("{per_s:d} lookups a second come through all nodes")
def when_come(context: Any, per_s: int) -> None:
    async def begin() -> None:
        context.coming = asyncio.create_task(context.play.come(per_s))

    run(context, begin())


@step("{seconds:d} s pass while they come")
def when_pass(context: Any, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))


@when("after {seconds:d} s {count:d} of them name {rate} requests a second")
def when_name(context: Any, seconds: int, count: int, rate: str) -> None:
    async def name() -> None:
        await asyncio.sleep(seconds)
        play = context.play
        play.limited = context.fleet.seats[:count]
        for each in play.limited:
            each.server.rate = rate
        play.named.append(NamedRate(time.monotonic(), float(rate)))

    run(context, name())


@when("after {seconds:d} s they name none any more")
def when_none(context: Any, seconds: int) -> None:
    async def end() -> None:
        await asyncio.sleep(seconds)
        for each in context.play.limited:
            each.server.rate = None

    run(context, end())


@when("after {seconds:d} s another start of the first server, without a limit, takes its place")
def when_replaced(context: Any, seconds: int) -> None:
    async def replace() -> None:
        await asyncio.sleep(seconds)
        first = context.fleet.seats[0]
        first.server.end()
        first.server.rate = None
        await first.server.come_back("i-2")
        await first.registrant.heartbeat("i-2")

    run(context, replace())


@step("after {seconds:d} s the node beside the first server is started anew")
def when_anew(context: Any, seconds: int) -> None:
    async def restart() -> None:
        await asyncio.sleep(seconds)
        play = context.play
        play.down.add(0)
        play.starts[0] = play.starts.get(0, 0) + 1
        await context.fleet.restart_node(0)
        await context.fleet.seats[0].registrant.heartbeat("i-1")
        await context.fleet.wait_for(context.fleet.seats[0].node.takes_callers)
        play.down.discard(0)

    run(context, restart())


@when(
    "after {seconds:d} s the first server says that it leaves, "
    "while its heartbeats say that it is ready"
)
def when_leaves(context: Any, seconds: int) -> None:
    async def beat() -> None:
        while True:
            await asyncio.sleep(LEFT_AFTER_S)
            await context.fleet.seats[0].registrant.heartbeat("i-1")

    async def leave() -> None:
        await asyncio.sleep(seconds)
        context.fleet.seats[0].server.leaves = True
        context.beats = asyncio.create_task(beat())

    run(context, leave())


async def end_play(context: Any) -> None:
    context.coming.cancel()
    if beats := getattr(context, "beats", None):
        beats.cancel()
    await asyncio.gather(*context.play.calls, return_exceptions=True)


@then("each of these got no more than its limit allows")
def then_within(context: Any) -> None:
    run(context, end_play(context))
    play = context.play
    for each in play.limited:
        told = play.told(each, "Server-Limit")
        worst = fullest_window(play.named, play.requests_at(each), told)
        assert worst is None or worst.is_within, worst


@then("each of these got at least {least:d} in the last {seconds:d} s")
def then_got(context: Any, least: int, seconds: int) -> None:
    run(context, end_play(context))
    play = context.play
    ended = max(began for _, began in play.entered.values())
    for each in play.limited:
        count = sum(ended - seconds < arrival.at <= ended for arrival in each.server.received)
        assert count >= least, count


@then("each lookup that was refused has a time to come back")
def then_hint(context: Any) -> None:
    refused = [each for each in context.play.lookups if each.result.status == 503]
    hints = [float(each.result.headers.get("Retry-After", 0)) for each in refused]
    assert all(hint > 0 for hint in hints), hints


@then("nothing reached it from a node {seconds:d} s after that had passed its word on")
def then_nothing(context: Any, seconds: int) -> None:
    run(context, end_play(context))
    play = context.play
    first = context.fleet.seats[0]
    told = play.told(first, "Server-Leaving")
    assert told, "no node had passed the word on"
    late = [
        attempt
        for attempt in (each.attempt for each in first.server.received)
        if attempt in play.entered
        and play.entered[attempt][1] > told.get(play.entered[attempt][0], float("inf")) + seconds
    ]
    assert not late, f"{len(late)} requests"


@then("at least {share:d} in 100 of the lookups were answered 200")
def then_answered(context: Any, share: int) -> None:
    run(context, end_play(context))
    lookups = context.play.lookups
    good = sum(each.result.status == 200 for each in lookups)
    assert good * 100 >= share * len(lookups), (good, len(lookups))
