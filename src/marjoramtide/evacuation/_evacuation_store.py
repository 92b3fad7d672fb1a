"""Evacuations as objects in the platform's store."""

import random
from collections.abc import AsyncIterator, Iterable

import attrs
import structlog

from marjoramtide.checked import MalformedError
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.evacuation._evacuation_record import EvacuationRecord, decode_record
from marjoramtide.evacuation._store_bulletin import is_valid_name
from marjoramtide.policy import EvacuationSnapshot
from marjoramtide.store import ObjectStore

log = structlog.get_logger()

WATCH_WAIT_S = 30.0
# Attempts of a write whose response was lost, or that met a concurrent change.
MAX_ATTEMPTS = 6
RETRY_PAUSE_S = 0.2


@attrs.define(slots=True, eq=False, repr=False)
class EvacuationStore:
    """Reads and writes evacuations: one object per data centre, named after it.

    The existence of the object is the evacuation. Its content only says who wrote it, and an object
    with unreadable content counts like any other.
    """

    store: ObjectStore
    prefix: str
    clock: Clock
    rng: random.Random

    async def read(self) -> tuple[EvacuationSnapshot, dict[str, bytes]]:
        """Return a snapshot, and each record as it is stored; raises as the store does."""
        listing = await self.store.list(self.prefix)
        records = {self._name(each.key): each.value for each in listing}
        return EvacuationSnapshot(listing.version, self._valid_names(records)), records

    async def watch(self, since: EvacuationSnapshot) -> AsyncIterator[EvacuationSnapshot]:
        """Yield a snapshot after each change; raises as the store does."""
        names = set(since.names)
        async for event in self.store.watch(self.prefix, since.version, wait=WATCH_WAIT_S):
            name = self._name(event.key)
            names.discard(name) if event.stored is None else names.add(name)
            yield EvacuationSnapshot(event.version, self._valid_names(names))

    async def write(self, name: str, value: bytes) -> None:
        """Evacuate a data centre; has no effect if it is evacuated already.

        Raises ``store-ambiguous`` if the store does not confirm the write in time, else as the
        store does. A duplicate of the write that is executed later finds the object in place.
        """
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                await self.store.create(self.prefix + name, value)
                return
            except MarjoramtideError as error:
                if error.code is ErrorCode.VERSION_CONFLICT:
                    return
                if attempt == MAX_ATTEMPTS:
                    raise
            await self.clock.sleep(RETRY_PAUSE_S * self.rng.uniform(0.5, 1.5))

    async def remove(self, name: str) -> None:
        """End an evacuation; raises ``not-found`` if there is none, else as ``write``."""
        was_found = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                stored = await self.store.get(self.prefix + name)
                was_found = True
                await self.store.delete(stored.key, stored.version)
                return
            except MarjoramtideError as error:
                if error.code is ErrorCode.NOT_FOUND and was_found:
                    return
                if error.code is ErrorCode.NOT_FOUND or attempt == MAX_ATTEMPTS:
                    raise
            await self.clock.sleep(RETRY_PAUSE_S * self.rng.uniform(0.5, 1.5))

    def _name(self, key: str) -> str:
        return key.removeprefix(self.prefix)

    def _valid_names(self, names: Iterable[str]) -> frozenset[str]:
        return frozenset(filter(is_valid_name, names))


def read_record(name: str, value: bytes) -> EvacuationRecord:
    """Return the record of an evacuated data centre; an empty one if it is unreadable."""
    try:
        return decode_record(value)
    except MalformedError as error:
        log.info("evacuation.record_unreadable", data_centre=name, reason=str(error))
        return EvacuationRecord()
