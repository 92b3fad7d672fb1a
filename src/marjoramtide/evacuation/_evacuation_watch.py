"""Watches the evacuations in the store."""

import random
from collections.abc import Callable

import attrs
import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.evacuation._evacuation_record import EvacuationRecord
from marjoramtide.evacuation._evacuation_store import EvacuationStore
from marjoramtide.policy import EvacuationSnapshot

log = structlog.get_logger()

# A node that has just started knows no others yet, and would always choose itself.
START_DELAY_S = 2.0
ROLE_CHECK_S = 1.0
# The minimum interval between watches, in case the store ends them at once.
MIN_WATCH_S = 0.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class EvacuationWatch:
    """Watches the store while this node is one of the chosen watchers.

    ``on_snapshot`` is called with what was read, ``find_lost`` returns the evacuations that a store
    restored from a copy has lost. If ``is_writable``, nodes write evacuations on operators'
    commands and write lost ones again; otherwise the external system that writes them does.
    """

    evacuations: EvacuationStore
    is_watcher: Callable[[], bool]
    is_writable: bool
    on_snapshot: Callable[[EvacuationSnapshot], None]
    find_lost: Callable[[], frozenset[str]]
    clock: Clock
    rng: random.Random
    records: dict[str, bytes] = attrs.Factory(dict)

    async def run(self) -> None:
        """Watch until cancelled; check after each watch whether this node is still chosen."""
        await self.clock.sleep(START_DELAY_S)
        retry_s = MIN_RETRY_S
        while True:
            if not self.is_watcher():
                await self.clock.sleep(ROLE_CHECK_S)
                continue
            started_at = self.clock.monotonic()
            try:
                await self.watch_once()
                retry_s = MIN_RETRY_S
                elapsed_s = self.clock.monotonic() - started_at
                await self.clock.sleep(max(0.0, MIN_WATCH_S - elapsed_s))
            except MarjoramtideError as error:
                log.info("evacuation.watch", error=str(error), code=error.code)
                await self.clock.sleep(retry_s * self.rng.uniform(0.5, 1.0))
                retry_s = min(MAX_RETRY_S, 2 * retry_s)

    async def watch_once(self) -> None:
        """Read a snapshot, then apply changes until the watch ends."""
        snapshot = await self.read()
        self.on_snapshot(snapshot)
        if self.is_writable:
            await self.rewrite_lost()
        try:
            async for update in self.evacuations.watch(snapshot):
                self.on_snapshot(update)
        except MarjoramtideError as error:
            if error.code is not ErrorCode.NOT_FOUND:
                raise
            log.info("evacuation.watch_gap", since=snapshot.version)

    async def read(self) -> EvacuationSnapshot:
        """Return a snapshot and keep the records; raises as the store does."""
        snapshot, records = await self.evacuations.read()
        self.records |= records
        return snapshot

    async def rewrite_lost(self) -> None:
        """Write evacuations again that the store has lost by being restored from a copy.

        Others that the list lacks are not written: the list may be outdated, and they may have been
        ended.
        """
        for name in sorted(self.find_lost()):
            log.warning("evacuation.written_again", step="evacuation.watch", data_centre=name)
            await self.evacuations.write(name, self.records.get(name, EvacuationRecord().encode()))
