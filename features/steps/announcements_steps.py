"""Steps for reads of the announcements, in virtual time."""

import asyncio
import random
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.memory_store import MemoryStore
from bench.model._model_directory import ModelDirectory
from bench.model._virtual_loop import LoopClock, VirtualLoop
from features.steps.membership_service_steps import FaultyStore
from marjoramtide.clock import ManualClock
from marjoramtide.membership import Member, MembershipService, MemberState, PacketCodec, SwimCore
from marjoramtide.membership._announcement import announcement_of
from marjoramtide.membership._announcer import Announcer
from marjoramtide.membership._bulletin import BulletinCodec
from marjoramtide.store import StoredObject
from marjoramtide.storecheck import make_store_checker

use_step_matcher("parse")

KEY = "a key for announcements only"
LOOP_TURNS_PER_S = 20
WRITTEN_BEFORE_S = 4.0
NODES_START_WITHIN_S = 3.0


class CountedStore(MemoryStore):
    """A store that counts its lists."""

    def __init__(self) -> None:
        super().__init__()
        self.lists = 0

    async def list(self, prefix: str, *, timeout: float = 2.0) -> list[StoredObject]:
        self.lists += 1
        return await super().list(prefix, timeout=timeout)


class AgedStore(MemoryStore):
    """A store whose ``list_allow_stale`` returns the objects of some seconds ago."""

    def __init__(self, clock: ManualClock, age_s: float) -> None:
        super().__init__()
        self.clock = clock
        self.age_s = age_s
        self.written_at: dict[str, float] = {}
        self.stale_lists = 0
        self.current_lists = 0

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        self.written_at[key] = self.clock.monotonic()
        return await super().create(key, value, timeout=timeout)

    async def list(self, prefix: str, *, timeout: float = 2.0) -> Any:
        self.current_lists += 1
        return await super().list(prefix, timeout=timeout)

    async def list_allow_stale(self, prefix: str, *, timeout: float = 2.0) -> Any:
        self.stale_lists += 1
        visible_until = self.clock.monotonic() - self.age_s
        found = await super().list(prefix, timeout=timeout)
        return [each for each in found if self.written_at[each.key] <= visible_until]


async def run_announcer(store: FaultyStore, seed: int, found: dict[int, float]) -> None:
    """Run the announcer and the checks of a node that knows no other."""
    loop, rng = asyncio.get_running_loop(), random.Random(seed)
    await asyncio.sleep(rng.uniform(0, NODES_START_WITHIN_S))
    address = f"10.0.0.{seed + 1}:7102"
    own = Member(f"n{seed}", "s", "r", "d", address, address, address, MemberState.READY)
    clock = LoopClock(loop)

    def read(_: object) -> None:
        found.setdefault(seed, loop.time())

    announcer = Announcer(store, clock, rng, lambda: own, lambda: 1, read)
    directory = ModelDirectory(own, lambda node: None)
    checker = make_store_checker(
        store, directory, lambda fields, readers: None, clock, rng, (), announcer.store_answered
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(announcer.run())
        tasks.create_task(checker.run())


@given("{count:d} nodes that start while the store fails all calls")
def given_outage(context: Any, count: int) -> None:
    context.node_count = count


@when("the store is back after {seconds:d} seconds")
def when_back(context: Any, seconds: int) -> None:
    async def play() -> None:
        store, found = FaultyStore(), dict[int, float]()
        store.is_down = True
        tasks = [
            asyncio.create_task(run_announcer(store, seed, found))
            for seed in range(context.node_count)
        ]
        await asyncio.sleep(seconds)
        store.is_down, back_at = False, asyncio.get_running_loop().time()
        while len(found) < context.node_count:
            await asyncio.sleep(0.05)
        context.found_after_s = [at - back_at for at in found.values()]
        for task in tasks:
            task.cancel()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(play())


@then("each of them has announced itself and read the announcements within {seconds:d} seconds")
def then_announced(context: Any, seconds: int) -> None:
    assert max(context.found_after_s) <= seconds, sorted(context.found_after_s)


@given(
    "an announcer whose store returns stale lists that are {age_s:d} s old, "
    "and whose node hears {whom}"
)
def given_aged(context: Any, age_s: int, whom: str) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.clock, context.known_count = ManualClock(), 1
    context.known_after_read = 2 if whom == "somebody" else 1
    context.store = AgedStore(context.clock, float(age_s))
    first, own = (
        Member(name, "s", "r", "d", address, address, address, MemberState.READY)
        for name, address in (("first", "127.0.0.1:7101"), ("n", "127.0.0.1:7102"))
    )
    announced = announcement_of(first, 0.0)
    context.runner.run(context.store.create(announced.key, announced.encode()))
    context.clock.advance(WRITTEN_BEFORE_S)
    context.found = []
    context.announcer = Announcer(
        context.store,
        context.clock,
        random.Random(1),
        lambda: own,
        lambda: context.known_count,
        context.found.extend,
    )


@then("it has read {stale:d} stale lists and {current:d} current ones")
def then_lists(context: Any, stale: int, current: int) -> None:
    assert (context.store.stale_lists, context.store.current_lists) == (stale, current)


@then("it has found the announcement of the node that wrote before it")
def then_found(context: Any) -> None:
    assert "first" in [each.node for each in context.found], context.found


@given("an announcer whose node knows {before:d} before its first read and {after:d} from then on")
def given_announcer(context: Any, before: int, after: int) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.clock, context.store, context.known_count = ManualClock(), CountedStore(), before
    address = "127.0.0.1:7102"
    member = Member("n", "s", "r", "d", address, address, address, MemberState.READY)
    context.known_after_read = after
    context.announcer = Announcer(
        context.store,
        context.clock,
        random.Random(1),
        lambda: member,
        lambda: context.known_count,
        lambda _: None,
    )


@when("{seconds:d} seconds pass for it")
def when_passed(context: Any, seconds: int) -> None:
    async def work() -> None:
        running = asyncio.create_task(context.announcer.run())
        context.cleanup.callback(running.cancel)
        for _ in range(seconds):
            for _ in range(LOOP_TURNS_PER_S):
                await asyncio.sleep(0)
            context.known_count = context.known_after_read
            context.clock.advance(1.0)

    context.runner.run(work())


@then("it has read the announcements {least:d} to {most:d} times")
def then_read(context: Any, least: int, most: int) -> None:
    assert least <= context.store.lists <= most, context.store.lists


@given("a membership that has ticked for {seconds:g} s without a seed")
def given_ticking(context: Any, seconds: float) -> None:
    rng, clock = random.Random(1), ManualClock()
    own = Member("own", "s", "r", "d", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1")
    core = SwimCore(own, PacketCodec(KEY), rng)
    context.membership = MembershipService(core, BulletinCodec(KEY), MemoryStore(), clock, rng)
    context.sent = []
    context.membership._send = lambda address, data: context.sent.append(address)
    for _ in range(round(seconds / core.options.tick_s)):
        core.tick(clock.monotonic(), clock.wall())
        clock.advance(core.options.tick_s)


@when("it reads a list of {count:d} others")
def reads_list(context: Any, count: int) -> None:
    addresses = [f"127.0.0.1:{number}" for number in range(10, 10 + count)]
    members = [
        Member(f"n{number}", "s", "r", "d", address, address, address)
        for number, address in enumerate(addresses)
    ]
    context.membership._on_announcements([announcement_of(member, 0.0) for member in members])


@then("it has sent pings to {count:d} of them")
def has_sent(context: Any, count: int) -> None:
    assert len(set(context.sent)) == len(context.sent) == count, context.sent
