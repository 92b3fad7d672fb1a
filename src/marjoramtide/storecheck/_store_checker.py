"""Checks of the store by one node for the whole fleet."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

import attrs
import structlog

from marjoramtide.checked import MalformedError
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import Directory, Member
from marjoramtide.store import ObjectStore
from marjoramtide.storecheck._check_bulletin import CheckBulletin, unpack_check_bulletin
from marjoramtide.storecheck._check_schedule import CheckSchedule

log = structlog.get_logger()

# A node that has just started reads the store anyway, and knows no others yet.
START_DELAY_S = 2.0
# The longest sleep between two looks at the schedule, in seconds: after failures the next check may
# be far off, and another node's check brings it forward.
MAX_SLEEP_S = 1.0
# How long after a bulletin its copy follows, in case the first was lost.
REPEAT_DELAY_S = 0.2
# Timeouts of a check, in seconds. Each failure doubles the timeout, for a store that is slow.
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.5, 2.0
# The timeout as a multiple of the time that the last answer took.
TIMEOUT_FACTOR = 3.0

Publish = Callable[[list[Any], Iterable[Member]], None]
ReadChanges = Callable[[], Awaitable[None]]


@attrs.define(slots=True, eq=False, repr=False)
class StoreChecker:
    """Notices within seconds what the watches of the store don't report, and tells who reads it.

    Failure: the store gave no answer to the few nodes that watch it, so that their watches were
    lost, which takes such a node half a minute to notice. All other nodes confirmed each other
    that nothing had changed. The whole fleet went on with settings that were replaced.

    A check asks for the store's version, which moves with every change. If it moved, all of
    ``read_changes`` read again what this fleet keeps of the store; each raises the store's errors.
    Every node hears of each check, and checks itself when it hears of none.

    ``read_version`` is the store's version up to which this node has read everything. ``on_answer``
    is called whenever the store has answered this node.
    """

    store: ObjectStore
    directory: Directory
    publish: Publish
    schedule: CheckSchedule
    read_changes: Sequence[ReadChanges]
    clock: Clock
    on_answer: Callable[[], None] = lambda: None
    read_version: int | None = None
    timeout_s: float = MIN_TIMEOUT_S
    own_checks: int = 0

    @property
    def age_s(self) -> float:
        """Return how long ago the store is known to have answered a check of any node."""
        return self.clock.monotonic() - self.schedule.checked_at

    async def run(self) -> None:
        """Check whenever it is due, until cancelled."""
        await self.clock.sleep(START_DELAY_S)
        self.schedule.begin(self.clock.monotonic())
        while True:
            wait_s = self.schedule.next_at - self.clock.monotonic()
            if wait_s > 0:
                await self.clock.sleep(min(wait_s, MAX_SLEEP_S))
            elif await self.check():
                self.broadcast()
                await self.clock.sleep(REPEAT_DELAY_S)
                self.broadcast()

    async def check(self) -> bool:
        """Check the store; return whether this node now knows all that it holds."""
        asked_at = self.clock.monotonic()
        try:
            version = await self.store.current_version(timeout=self.timeout_s)
            self._adapt_timeout(self.clock.monotonic() - asked_at)
            self.on_answer()
            await self._read_up_to(version)
        except MarjoramtideError as error:
            self._record_failure(error, asked_at)
            return False
        if not self.schedule.is_checker:
            log.info(
                "storecheck.taken_over",
                step="storecheck.check",
                after_s=round(asked_at - self.schedule.checked_at, 2),
                previous=self.schedule.checked_by,
            )
        self.schedule.record_own(asked_at)
        self.own_checks += 1
        return True

    async def _read_up_to(self, version: int) -> None:
        """Read everything again if the store has changed since this node last did."""
        if version == self.read_version:
            return
        # One kind of fact that can't be read must not keep the others from being read.
        results = await asyncio.gather(
            *(read() for read in self.read_changes), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        # The version from before the reads: what changes meanwhile is found by the next check.
        self.read_version = version

    def _adapt_timeout(self, took_s: float) -> None:
        self.timeout_s = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * took_s))

    def _record_failure(self, error: MarjoramtideError, asked_at: float) -> None:
        self.timeout_s = min(MAX_TIMEOUT_S, 2 * self.timeout_s)
        self.schedule.record_failure(asked_at, self.clock.monotonic())
        log.info(
            "storecheck.failed",
            code=error.code,
            step="storecheck.check",
            peer=error.peer,
            reason=error.message,
            age_s=round(self.age_s, 2),
        )

    def broadcast(self) -> None:
        """Tell all other nodes of the last check, if this node made it."""
        if not self.schedule.is_checker:
            return
        own = self.directory.self_member.node
        others = [member for member in self.directory.members() if member.node != own]
        self.publish(CheckBulletin(self.schedule.number, self.age_s).pack(), others)

    def handle_bulletin(self, member: Member, fields: list[Any]) -> None:
        """Record a check that another node made."""
        try:
            bulletin = unpack_check_bulletin(fields)
        except MalformedError as error:
            log.warning(
                "storecheck.malformed",
                code=ErrorCode.BAD_FRAME,
                step="storecheck.bulletin",
                peer=member.node,
                reason=str(error),
            )
            return
        checked_at = self.clock.monotonic() - bulletin.age_s
        self.schedule.record_heard(bulletin.number, member.node, checked_at)


def make_store_checker(
    store: ObjectStore,
    directory: Directory,
    publish: Publish,
    clock: Clock,
    rng: random.Random,
    read_changes: Sequence[ReadChanges],
    on_answer: Callable[[], None] = lambda: None,
) -> StoreChecker:
    """Return the checker of a node, which has heard of no check yet."""
    schedule = CheckSchedule(
        directory.self_member.node,
        rng,
        lambda: len(directory.members()),
        clock.monotonic(),
    )
    return StoreChecker(store, directory, publish, schedule, read_changes, clock, on_answer)
