"""Conditional writes that find out what became of them when their answers are lost."""

import itertools
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.store._backoff import full_jitter
from marjoramtide.store._object_store import ObjectStore
from marjoramtide.store._resolution import Resolution
from marjoramtide.store._stored_object import StoredObject

READS_AFTER_CONFLICT = 4


async def create_resolved(
    store: ObjectStore,
    key: str,
    value: bytes,
    is_own: Callable[[bytes], bool],
    *,
    clock: Clock,
    rng: random.Random,
    deadline: float,
) -> Resolution:
    """Create the object under ``key``, or tell whose object is there.

    ``value`` carries an id that no other write has, by which ``is_own`` knows it again.
    ``deadline`` is in seconds of the monotonic clock.

    Raises ``store-unavailable`` or ``store-throttled`` where the write certainly has no effect,
    ``version-conflict`` where it lost to an object that can't be read, and ``store-ambiguous``
    where it wasn't decided in time: it may then take effect even later, until somebody else's write
    to the same key succeeds. A cancelled call is as undecided.
    """

    async def write(timeout: float) -> StoredObject:
        return await store.create(key, value, timeout=timeout)

    resolved = ResolvedWrite(store, key, write, is_own, clock, rng, deadline, newer_than=0)
    return await resolved.run()


async def update_resolved(
    store: ObjectStore,
    key: str,
    value: bytes,
    version: int,
    is_own: Callable[[bytes], bool],
    *,
    clock: Clock,
    rng: random.Random,
    deadline: float,
) -> Resolution:
    """Replace the object if it still has ``version``, or tell what replaced it.

    As ``create_resolved``. ``is_own`` must know the writer's value also after others have built on
    it (by a history of ids inside the value, say): an own write that was overtaken while its answer
    was lost otherwise counts as lost.
    """

    async def write(timeout: float) -> StoredObject:
        return await store.update(key, value, version, timeout=timeout)

    resolved = ResolvedWrite(store, key, write, is_own, clock, rng, deadline, newer_than=version)
    return await resolved.run()


class ResolvedWrite:
    """One conditional write, sent until the store has given a definite answer to it.

    Reading alone can't tell what became of a write: it may still be on its way and take effect
    after the read that didn't find it, and a stale read doesn't find it either; a writer that went
    by such a read would report as failed what then comes into force. The same conditional write is
    therefore sent again. Whichever answer it gets decides the earlier copies too: once the key is
    taken, or the version has moved on, the condition of every copy on its way is false. Only after
    that is the object read, to learn whose it is.
    """

    def __init__(
        self,
        store: ObjectStore,
        key: str,
        write: Callable[[float], Awaitable[StoredObject]],
        is_own: Callable[[bytes], bool],
        clock: Clock,
        rng: random.Random,
        deadline: float,
        newer_than: int,
    ) -> None:
        self.store = store
        self.key = key
        self.write = write
        self.is_own = is_own
        self.clock = clock
        self.rng = rng
        self.deadline = deadline
        self.newer_than = newer_than
        self.lost: MarjoramtideError | None = None

    async def run(self) -> Resolution:
        for attempt in itertools.count(1):
            try:
                return Resolution(True, await self.write(self.left()))
            except MarjoramtideError as error:
                if error.code == ErrorCode.VERSION_CONFLICT:
                    return await self.read_winner(error)
                if error.code == ErrorCode.STORE_AMBIGUOUS:
                    self.lost = error
                await self.pause(attempt, self.lost or error, may_go_on=self.lost is not None)
        raise AssertionError("unreachable")

    async def read_winner(self, conflict: MarjoramtideError) -> Resolution:
        """Read whose object the write lost to; it may be an earlier copy of the write's own."""
        for attempt in range(1, READS_AFTER_CONFLICT + 1):
            with suppress(MarjoramtideError):
                stored = await self.store.get(self.key, timeout=self.left())
                # A stale read shows the object from before the conflict: not the one that won.
                if stored.version > self.newer_than:
                    return Resolution(self.is_own(stored.value), stored)
            more = attempt < READS_AFTER_CONFLICT
            await self.pause(attempt, self.lost or conflict, may_go_on=more)
        raise AssertionError("unreachable")

    def left(self) -> float:
        return max(0.001, self.deadline - self.clock.monotonic())

    async def pause(self, attempt: int, error: MarjoramtideError, *, may_go_on: bool) -> None:
        """Wait before another try; raises ``error`` where there may be none or no time for it."""
        pause = full_jitter(attempt, self.rng)
        if not may_go_on or self.clock.monotonic() + pause >= self.deadline:
            raise error
        await self.clock.sleep(pause)
