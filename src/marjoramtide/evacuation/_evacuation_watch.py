"""Following the evacuations in the store."""

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

# A node that has just started knows no others yet, and would choose itself.
FIRST_WATCH_S = 2.0
ROLE_CHECK_S = 1.0
# A store that ends watches at once must not be read in a tight loop.
SHORTEST_WATCH_S = 0.5
FIRST_RETRY_S = 0.1
LAST_RETRY_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class EvacuationWatch:
    """Watches the store while this node is one of those chosen for it.

    ``take`` is given what was read, ``lost`` returns what a copy of the store lacks. Where
    ``is_ours``, nodes write evacuations on the operators' word, and those are written again;
    elsewhere whoever wrote them does that.
    """

    evacuations: EvacuationStore
    is_watcher: Callable[[], bool]
    is_ours: bool
    take: Callable[[EvacuationSnapshot], None]
    lost: Callable[[], frozenset[str]]
    clock: Clock
    rng: random.Random
    records: dict[str, bytes] = attrs.Factory(dict)

    async def run(self) -> None:
        """Watch until cancelled; the choice is looked at again after each watch."""
        await self.clock.sleep(FIRST_WATCH_S)
        retry_s = FIRST_RETRY_S
        while True:
            if not self.is_watcher():
                await self.clock.sleep(ROLE_CHECK_S)
                continue
            began = self.clock.monotonic()
            try:
                await self.watch_once()
                retry_s = FIRST_RETRY_S
                spent = self.clock.monotonic() - began
                await self.clock.sleep(max(0.0, SHORTEST_WATCH_S - spent))
            except MarjoramtideError as error:
                log.info("evacuation.watch", error=str(error), code=error.code)
                await self.clock.sleep(retry_s * self.rng.uniform(0.5, 1.0))
                retry_s = min(LAST_RETRY_S, 2 * retry_s)

    async def watch_once(self) -> None:
        """Read, then take changes as they come until the watch ends."""
        told = await self.read()
        self.take(told)
        if self.is_ours:
            await self.write_lost()
        try:
            async for changed in self.evacuations.watch(told):
                self.take(changed)
        except MarjoramtideError as error:
            if error.code is not ErrorCode.NOT_FOUND:
                raise
            log.info("evacuation.watch_gap", since=told.version)

    async def read(self) -> EvacuationSnapshot:
        """Return what is evacuated, and keep the records; raises as the store does."""
        told, records = await self.evacuations.read()
        self.records |= records
        return told

    async def write_lost(self) -> None:
        """Write again what the store has lost by coming back from a copy.

        Nothing else that the list lacks: it may be an old one, and what it lacks be taken back.
        """
        for name in sorted(self.lost()):
            log.warning("evacuation.written_again", step="evacuation.watch", data_centre=name)
            await self.evacuations.write(name, self.records.get(name, EvacuationRecord().encode()))
