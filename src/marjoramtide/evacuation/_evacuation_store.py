"""Evacuations as objects in the platform's store."""

import random
from collections.abc import AsyncIterator, Iterable

import attrs
import structlog

from marjoramtide.checked import MalformedError
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.evacuation._evacuation_record import EvacuationRecord, decode_record
from marjoramtide.evacuation._store_news import is_name
from marjoramtide.policy import EvacuationSnapshot
from marjoramtide.store import ObjectStore

log = structlog.get_logger()

WATCH_WAIT_S = 30.0
# Tries of a write whose answer was lost, or that met a change between its read and itself.
ATTEMPTS = 6
PAUSE_S = 0.2


@attrs.define(slots=True, eq=False, repr=False)
class EvacuationStore:
    """Reads and writes evacuations: one object for each data centre, named after it.

    The name is the order: what else an object holds tells who wrote it, and an object in which
    nothing can be read counts like any other.
    """

    store: ObjectStore
    prefix: str
    clock: Clock
    rng: random.Random

    async def read(self) -> tuple[EvacuationSnapshot, dict[str, bytes]]:
        """Return what is evacuated, and each record as it is stored; raises as the store does."""
        listing = await self.store.list(self.prefix)
        records = {self._name(each.key): each.value for each in listing}
        return EvacuationSnapshot(listing.version, self._sound(records)), records

    async def watch(self, since: EvacuationSnapshot) -> AsyncIterator[EvacuationSnapshot]:
        """Yield what is evacuated after each change; raises as the store does."""
        names = set(since.names)
        async for event in self.store.watch(self.prefix, since.version, wait=WATCH_WAIT_S):
            name = self._name(event.key)
            names.discard(name) if event.stored is None else names.add(name)
            yield EvacuationSnapshot(event.version, self._sound(names))

    async def write(self, name: str, value: bytes) -> None:
        """Evacuate a data centre; one that is evacuated already stays so.

        Raises ``store-ambiguous`` where the store doesn't tell in time whether it was written, else
        as the store does. A copy of the write that comes later finds the object there.
        """
        for attempt in range(1, ATTEMPTS + 1):
            try:
                await self.store.create(self.prefix + name, value)
                return
            except MarjoramtideError as error:
                if error.code is ErrorCode.VERSION_CONFLICT:
                    return
                if attempt == ATTEMPTS:
                    raise
            await self.clock.sleep(PAUSE_S * self.rng.uniform(0.5, 1.5))

    async def remove(self, name: str) -> None:
        """Take an evacuation back; raises ``not-found`` where there is none, else as ``write``."""
        is_tried = False
        for attempt in range(1, ATTEMPTS + 1):
            try:
                held = await self.store.get(self.prefix + name)
                is_tried = True
                await self.store.delete(held.key, held.version)
                return
            except MarjoramtideError as error:
                if error.code is ErrorCode.NOT_FOUND and is_tried:
                    return
                if error.code is ErrorCode.NOT_FOUND or attempt == ATTEMPTS:
                    raise
            await self.clock.sleep(PAUSE_S * self.rng.uniform(0.5, 1.5))

    def _name(self, key: str) -> str:
        return key.removeprefix(self.prefix)

    def _sound(self, names: Iterable[str]) -> frozenset[str]:
        return frozenset(filter(is_name, names))


def read_record(name: str, value: bytes) -> EvacuationRecord:
    """Return who evacuated a data centre; empty where the object doesn't tell."""
    try:
        return decode_record(value)
    except MalformedError as error:
        log.info("evacuation.record_unreadable", data_centre=name, reason=str(error))
        return EvacuationRecord()
