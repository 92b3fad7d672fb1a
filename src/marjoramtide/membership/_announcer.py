"""Keeps this node's announcement in the object store and discovers those of other nodes."""

import asyncio
import random
from collections.abc import Callable, Iterable

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership._announcement import (
    ANNOUNCEMENT_PREFIX,
    Announcement,
    announcement_of,
    decode_announcement,
)
from marjoramtide.membership._member import Member
from marjoramtide.store import ObjectStore, StoredObject

log = structlog.get_logger()

REFRESH_INTERVAL_S = 3600.0
ABANDONED_AFTER_S = 3 * REFRESH_INTERVAL_S
MIN_REREAD_INTERVAL_S = 300.0
REREAD_PER_MEMBER_S = 1.0
ALONE_REREAD_INTERVAL_S = 10.0
RETRY_BASE_S = 0.5
RETRY_MAX_S = 30.0
MAX_REMOVALS_PER_READ = 2
# How long the seeds from a possibly stale list have to reply: three are pinged every 0.2 s, and
# running nodes reply within milliseconds.
SEED_REPLY_WAIT_S = 0.4
STOP_TIMEOUT_S = 2.0
# After the store was restored from a copy, the nodes spread the rewrites of their announcements
# over this time, or over a longer one if the store's write rate requires it.
REWRITE_SPREAD_S = 1.5
REWRITES_PER_S = 200.0


class Announcer:
    """Writes, refreshes and reads announcements; the only part of membership that uses the store.

    ``on_announcements`` is called with all announcements after each read. The interval between
    reads grows with the fleet (``REREAD_PER_MEMBER_S``), so that all nodes together read about once
    a second at most; a node that knows no other member reads more often.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
        member: Callable[[], Member],
        member_count: Callable[[], int],
        on_announcements: Callable[[list[Announcement]], None],
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.member = member
        self.member_count = member_count
        self.on_announcements = on_announcements
        self.version: int | None = None
        self.refreshed_at = 0.0
        self.failures = 0
        self.rewrite_needed = asyncio.Event()
        self.store_answers = asyncio.Event()

    async def run(self) -> None:
        """Announce this node and read the announcements until cancelled, retrying store errors."""
        while True:
            try:
                (
                    await self._rewrite()
                    if self.rewrite_needed.is_set()
                    else await self._announce_and_read()
                )
                self.failures = 0
                await self._wait_for_next_round()
            except MarjoramtideError as error:
                self.failures += 1
                if self.failures == 1:
                    log.warning(
                        "announcement-delayed", code=error.code, step=error.step, error=str(error)
                    )
                await self._sleep_until_retry()
            except Exception:
                # An unexpected object in the store must not end this task: nodes that start later
                # could then not discover this node, nor this node them.
                self.failures += 1
                log.exception(
                    "announcement-failed", code=ErrorCode.INTERNAL, step="membership.announce"
                )
                await self._sleep_until_retry()

    def on_store_epoch(self, epoch: int) -> None:
        """Schedule a rewrite: the store was restored from a copy that may lack the announcement."""
        self.version = None
        self.rewrite_needed.set()

    def store_answered(self) -> None:
        """Retry now after a failure: the store has answered another call of this node.

        Failure: a node starts during an outage, and its pauses between attempts last longer than
        the outage. It knows no other node for half a minute, and no other node knows it.
        """
        if self.failures:
            self.store_answers.set()

    async def withdraw(self) -> None:
        """Delete the announcement at a planned stop; if the store is down it is left behind."""
        if self.version is None:
            return
        try:
            await self.store.delete(self._own().key, self.version, timeout=STOP_TIMEOUT_S)
        except MarjoramtideError as error:
            log.warning("announcement-left-behind", code=error.code, error=str(error))

    def _own(self) -> Announcement:
        return announcement_of(self.member(), self.clock.wall())

    async def _wait_for_next_round(self) -> None:
        was_alone = self._is_alone()
        await self._sleep_unless(self.rewrite_needed, self._reread_delay_s())
        # At its first read every node knows only itself. Without a second wait, all nodes of a
        # fleet that starts at once would reread the list within 15 s, though they know each other
        # by gossip meanwhile.
        if was_alone and not self._is_alone():
            await self._sleep_unless(self.rewrite_needed, self._reread_delay_s())

    async def _sleep_until_retry(self) -> None:
        self.store_answers.clear()
        await self._sleep_unless(self.store_answers, self._retry_delay_s())

    async def _sleep_unless(self, event: asyncio.Event, seconds: float) -> None:
        """Sleep, but return early once the event is set."""
        waits = [asyncio.ensure_future(wait) for wait in (self.clock.sleep(seconds), event.wait())]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    def _is_alone(self) -> bool:
        return self.member_count() < 2

    def _reread_delay_s(self) -> float:
        usual_s = max(MIN_REREAD_INTERVAL_S, REREAD_PER_MEMBER_S * self.member_count())
        delay_s = ALONE_REREAD_INTERVAL_S if self._is_alone() else usual_s
        return delay_s * self.rng.uniform(0.5, 1.5)

    def _retry_delay_s(self) -> float:
        # Jitter keeps the fleet from retrying in lockstep after an outage.
        longest_s = min(RETRY_MAX_S, RETRY_BASE_S * 2 ** min(self.failures, 10))
        return self.rng.uniform(RETRY_BASE_S / 2, longest_s)

    async def _announce_and_read(self) -> None:
        # Writing before reading ensures that, of two nodes that start at once in an empty fleet, at
        # least one finds the other.
        if self.version is None or self.clock.monotonic() - self.refreshed_at > REFRESH_INTERVAL_S:
            await self._write()
        announcements = await self._read_all()
        self.on_announcements([decoded for _, decoded in announcements])
        await self._remove_abandoned(announcements)

    async def _rewrite(self) -> None:
        """Rewrite the announcement after a random delay, which spreads the writes of the fleet.

        The list isn't read, since the members are known by gossip.
        """
        spread_s = max(REWRITE_SPREAD_S, self.member_count() / REWRITES_PER_S)
        await self.clock.sleep(self.rng.uniform(0, spread_s))
        self.rewrite_needed.clear()
        if self.version is not None:
            return
        try:
            await self._write()
        except MarjoramtideError:
            self.rewrite_needed.set()
            raise
        log.info("announcement-written-again", step="membership.announce")

    async def _read_all(self) -> list[tuple[StoredObject, Announcement]]:
        """Return the announcements, from a possibly stale list if that suffices.

        A stale list costs a tenth of a call on the platform. It suffices if it contains this run's
        own announcement, since then at least one of two nodes that start at once finds the other.
        Otherwise the addresses in it are pinged: if a node replies, gossip brings all others; if
        none does, the current list is read.
        """
        listed = _decode_announcements(await self.store.list_allow_stale(ANNOUNCEMENT_PREFIX))
        own = self._own().key
        if any(item.key == own for item, _ in listed):
            return listed
        self.on_announcements([decoded for _, decoded in listed])
        await self.clock.sleep(SEED_REPLY_WAIT_S)
        return (
            _decode_announcements(await self.store.list(ANNOUNCEMENT_PREFIX))
            if self._is_alone()
            else listed
        )

    async def _write(self) -> None:
        own = self._own()
        try:
            written = (
                await self.store.create(own.key, own.encode())
                if self.version is None
                else await self.store.update(own.key, own.encode(), self.version)
            )
        except MarjoramtideError as error:
            if error.code is ErrorCode.NOT_FOUND:
                self.version = None
            if error.code is not ErrorCode.VERSION_CONFLICT:
                raise
            # The key contains this run's random number, so the object can only be an earlier write
            # of this process whose response was lost.
            written = await self.store.get(own.key)
        self.version = written.version
        self.refreshed_at = self.clock.monotonic()

    async def _remove_abandoned(
        self, announcements: list[tuple[StoredObject, Announcement]]
    ) -> None:
        own = self._own()
        abandoned = [
            item
            for item, announcement in announcements
            if announcement.node != own.node
            and (
                announcement.gossip_address == own.gossip_address
                or own.refreshed - announcement.refreshed > ABANDONED_AFTER_S
            )
        ]
        for item in abandoned[:MAX_REMOVALS_PER_READ]:
            try:
                await self.store.delete(item.key, item.version)
            except MarjoramtideError as error:
                if error.code not in (ErrorCode.VERSION_CONFLICT, ErrorCode.NOT_FOUND):
                    raise


def _decode_announcements(
    stored: Iterable[StoredObject],
) -> list[tuple[StoredObject, Announcement]]:
    """Return the valid announcements, each with its object in the store."""
    return [(item, decoded) for item in stored if (decoded := _try_decode(item))]


def _try_decode(item: StoredObject) -> Announcement | None:
    try:
        return decode_announcement(item.key, item.value)
    except MarjoramtideError as error:
        log.warning("announcement-unreadable", code=error.code, key=item.key, error=str(error))
        return None
