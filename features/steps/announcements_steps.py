"""Steps on how often a node reads the announcements, in virtual time."""

import asyncio
import random
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.memory_store import MemoryStore
from marjoramtide.clock import ManualClock
from marjoramtide.membership import Member, MemberState
from marjoramtide.membership._announcer import Announcer
from marjoramtide.store import StoredObject

use_step_matcher("parse")

TURNS = 20


class CountedStore(MemoryStore):
    """Counts the lists."""

    def __init__(self) -> None:
        super().__init__()
        self.lists = 0

    async def list(self, prefix: str, *, timeout: float = 2.0) -> list[StoredObject]:
        self.lists += 1
        return await super().list(prefix, timeout=timeout)


@given("an announcer whose node knows {before:d} before its first read and {after:d} from then on")
def given_announcer(context: Any, before: int, after: int) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.clock, context.store, context.known = ManualClock(), CountedStore(), before
    address = "127.0.0.1:7102"
    member = Member("n", "s", "r", "d", address, address, address, MemberState.READY)
    context.after = after
    context.announcer = Announcer(
        context.store,
        context.clock,
        random.Random(1),
        lambda: member,
        lambda: context.known,
        lambda _: None,
    )


@when("{seconds:d} seconds pass for it")
def when_passed(context: Any, seconds: int) -> None:
    async def work() -> None:
        running = asyncio.create_task(context.announcer.run())
        context.cleanup.callback(running.cancel)
        for _ in range(seconds):
            for _ in range(TURNS):
                await asyncio.sleep(0)
            context.known = context.after
            context.clock.advance(1.0)

    context.runner.run(work())


@then("it has read the announcements {least:d} to {most:d} times")
def then_read(context: Any, least: int, most: int) -> None:
    assert least <= context.store.lists <= most, context.store.lists
