"""Conditional writes that determine their outcome after lost responses."""

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

MAX_READS_AFTER_CONFLICT = 4


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
    """Create the object under ``key``, or return the object that already exists.

    ``value`` must contain an id that is unique to this write, by which ``is_own`` recognizes it.
    ``deadline`` is in seconds of the monotonic clock.

    Raises ``store-unavailable`` or ``store-throttled`` if the write certainly has no effect,
    ``version-conflict`` if it lost to an object that can't be read, and ``store-ambiguous`` if the
    outcome is unknown at the deadline: the write may still take effect later, until another write
    to the same key succeeds. The outcome of a cancelled call is just as unknown.
    """

    async def write(timeout: float) -> StoredObject:
        return await store.create(key, value, timeout=timeout)

    resolved = ResolvedWrite(store, key, write, is_own, clock, rng, deadline, previous_version=0)
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
    """Replace the object if it still has ``version``, or return the object that replaced it.

    Otherwise the same as ``create_resolved``. ``is_own`` must also recognize the writer's value
    after other writers changed it, for example by a history of ids inside the value. Otherwise a
    write whose response was lost counts as not applied once another writer has updated the object.
    """

    async def write(timeout: float) -> StoredObject:
        return await store.update(key, value, version, timeout=timeout)

    resolved = ResolvedWrite(
        store, key, write, is_own, clock, rng, deadline, previous_version=version
    )
    return await resolved.run()


class ResolvedWrite:
    """A conditional write that is resent until the store gives a definite response.

    A read can't determine the outcome of a write: the write may still be in transit and take effect
    after the read, and a stale read misses it too, so the writer would report as failed a write
    that takes effect later. The same conditional write is therefore sent again. Its response also
    settles the earlier copies: once the key exists or the version has changed, the condition of
    every copy in transit is false. Only then is the object read, to learn whose write it holds.
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
        previous_version: int,
    ) -> None:
        self.store = store
        self.key = key
        self.write = write
        self.is_own = is_own
        self.clock = clock
        self.rng = rng
        self.deadline = deadline
        self.previous_version = previous_version
        self.ambiguous_error: MarjoramtideError | None = None

    async def run(self) -> Resolution:
        for attempt in itertools.count(1):
            try:
                return Resolution(True, await self.write(self.remaining_s()))
            except MarjoramtideError as error:
                if error.code == ErrorCode.VERSION_CONFLICT:
                    return await self.read_winner(error)
                if error.code == ErrorCode.STORE_AMBIGUOUS:
                    self.ambiguous_error = error
                await self.pause(
                    attempt,
                    self.ambiguous_error or error,
                    can_retry=self.ambiguous_error is not None,
                )
        raise AssertionError("unreachable")

    async def read_winner(self, conflict: MarjoramtideError) -> Resolution:
        """Read the object that caused the conflict; an earlier copy of this write may have."""
        for attempt in range(1, MAX_READS_AFTER_CONFLICT + 1):
            with suppress(MarjoramtideError):
                stored = await self.store.get(self.key, timeout=self.remaining_s())
                # A stale read returns the object from before the conflict.
                if stored.version > self.previous_version:
                    return Resolution(self.is_own(stored.value), stored)
            can_read_again = attempt < MAX_READS_AFTER_CONFLICT
            await self.pause(attempt, self.ambiguous_error or conflict, can_retry=can_read_again)
        raise AssertionError("unreachable")

    def remaining_s(self) -> float:
        return max(0.001, self.deadline - self.clock.monotonic())

    async def pause(self, attempt: int, error: MarjoramtideError, *, can_retry: bool) -> None:
        """Wait before the next attempt; raises ``error`` if no attempt or time is left."""
        pause = full_jitter(attempt, self.rng)
        if not can_retry or self.clock.monotonic() + pause >= self.deadline:
            raise error
        await self.clock.sleep(pause)
