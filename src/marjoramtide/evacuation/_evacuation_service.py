"""The service of a node that knows which data centres are evacuated."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import structlog

from marjoramtide.checked import MalformedError
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.evacuation._evacuation_record import EvacuationRecord
from marjoramtide.evacuation._evacuation_store import EvacuationStore, read_record
from marjoramtide.evacuation._evacuation_watch import EvacuationWatch
from marjoramtide.evacuation._store_bulletin import StoreBulletin, unpack_store_bulletin
from marjoramtide.membership import Directory, Member
from marjoramtide.policy import EvacuationSnapshot, EvacuationState
from marjoramtide.settings.sync import PiggybackedState
from marjoramtide.store import ObjectStore

log = structlog.get_logger()

# The delay of one repetition to all nodes, for lost datagrams. In addition each node asks another
# one as often as for the settings.
REPEAT_DELAY_S = 0.25
# A timer may fire slightly early, and is not rescheduled then.
EXPIRY_SLACK_S = 0.05

Publish = Callable[[list[Any], Iterable[Member]], None]


@attrs.define(slots=True, eq=False, repr=False)
class EvacuationService(PiggybackedState):
    """Knows which data centres are evacuated, and informs the other nodes.

    The nodes that watch the store inform all others, which include it in their replies about
    settings. A starting node thus gets it with its settings, from the same peer or from the store,
    before it serves.

    ``on_change`` is called with the names in force whenever they have changed. ``watch`` is
    ``None`` if the store can't hold evacuations; the store's epoch is sent in any case.
    """

    store: ObjectStore
    directory: Directory
    publish: Publish
    clock: Clock
    on_change: Callable[[frozenset[str]], None]
    policy: EvacuationState = attrs.Factory(EvacuationState)
    evacuations: EvacuationStore | None = None
    watch: EvacuationWatch | None = None
    in_force: frozenset[str] = frozenset()
    is_receiving: bool = False
    timers: list[asyncio.TimerHandle] = attrs.Factory(list)

    async def run(self) -> None:
        """Watch the store until cancelled."""
        if self.watch is not None:
            await self.watch.run()
        await asyncio.Event().wait()

    # Changes in the store

    def handle_snapshot(self, snapshot: EvacuationSnapshot) -> None:
        """Merge a snapshot read from the store, and send it to the other nodes if it is new."""
        if self._merge(snapshot, "store"):
            self.broadcast()

    def epoch_changed(self, epoch: int) -> None:
        """Inform other nodes that the store was restored from a copy, unless they reported it."""
        if not self.is_receiving:
            self.broadcast()

    async def read_store(self) -> None:
        # Not sent to others: when a fleet starts, each node reads it.
        if self.watch is not None:
            self._merge(await self.watch.read(), "store")

    async def read_changes(self) -> None:
        """Read the store, and tell the other nodes what is new; raises the store's errors."""
        if self.watch is not None:
            self.handle_snapshot(await self.watch.read())

    # Bulletins between nodes

    def broadcast(self) -> None:
        """Send the state to all other nodes now, and once more in case a datagram was lost."""
        self._publish()
        loop = asyncio.get_running_loop()
        self.timers = [timer for timer in self.timers if timer.when() > loop.time()]
        self.timers.append(loop.call_later(REPEAT_DELAY_S, self._publish))

    def local_state(self) -> list[Any]:
        bulletin = StoreBulletin(self.store.epoch, self.policy.snapshot(self.clock.monotonic()))
        return bulletin.pack()

    def merge_state(self, fields: list[Any], source: str) -> None:
        try:
            bulletin = unpack_store_bulletin(fields)
        except MalformedError as error:
            log.warning(
                "evacuation.malformed",
                code=ErrorCode.BAD_FRAME,
                step="evacuation.take",
                peer=source,
                reason=str(error),
            )
            return
        self.is_receiving = True
        self.store.observe_epoch(bulletin.epoch)
        self.is_receiving = False
        self._merge(bulletin.evacuated, source)

    def _publish(self) -> None:
        own = self.directory.self_member.node
        others = [member for member in self.directory.members() if member.node != own]
        self.publish(self.local_state(), others)

    def _merge(self, snapshot: EvacuationSnapshot, source: str) -> bool:
        now = self.clock.monotonic()
        is_new = self.policy.merge(snapshot, now)
        if is_new:
            self.refresh(source)
            self._schedule_refresh(now)
        return is_new

    def refresh(self, source: str = "time") -> None:
        """Apply the evacuations in force, which change with new snapshots and with time."""
        names = self.policy.in_force(self.clock.monotonic())
        if names == self.in_force:
            return
        begun, ended = sorted(names - self.in_force), sorted(self.in_force - names)
        self.in_force = names
        log.warning(
            "evacuation.in_force",
            step="evacuation.refresh",
            source=source,
            version=self.policy.latest.version,
            begun=begun,
            ended=ended,
            unknown=sorted(set(begun) - self._known_data_centres()),
        )
        self.on_change(names)

    def _schedule_refresh(self, now: float) -> None:
        expires_at = self.policy.next_expiry()
        if expires_at is not None:
            loop = asyncio.get_running_loop()
            self.timers.append(
                loop.call_later(max(0.0, expires_at - now) + EXPIRY_SLACK_S, self.refresh)
            )

    def _known_data_centres(self) -> set[str]:
        return {member.data_centre for member in self.directory.members()}

    # Operator commands

    async def evacuate(self, data_centre: str, author: str) -> None:
        """Evacuate a data centre; raises ``not-found`` if it has no node, else as the store.

        An evacuation of an unknown name would have no effect, and the name is most likely a
        mistake.
        """
        evacuation_store = self._writable_store()
        if data_centre not in self._known_data_centres():
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"no node is in a data centre named {data_centre[:100]!r}; known: "
                + ", ".join(sorted(self._known_data_centres())),
                step="evacuation.evacuate",
            )
        await evacuation_store.write(
            data_centre, EvacuationRecord(author, self.clock.wall()).encode()
        )
        await self._read_and_broadcast()

    async def release(self, data_centre: str) -> None:
        """End an evacuation; raises ``not-found`` if there is none, else as the store."""
        await self._writable_store().remove(data_centre)
        await self._read_and_broadcast()

    async def _read_and_broadcast(self) -> None:
        """Apply what was just written; the nodes that watch the store send it to others as well."""
        try:
            await self.read_changes()
        except MarjoramtideError as error:
            log.info("evacuation.read", code=error.code, reason=error.message)

    async def list_in_force(self) -> list[dict[str, Any]]:
        """Return the evacuations in force, with author and time, as plain values.

        Author and time are empty if the store does not respond.
        """
        try:
            await self.read_store()
        except MarjoramtideError as error:
            log.info("evacuation.read", code=error.code, reason=error.message)
        records = self.watch.records if self.watch is not None else {}
        return [
            {"data_centre": name} | attrs.asdict(read_record(name, records.get(name) or b"{}"))
            for name in sorted(self.in_force)
        ]

    def _writable_store(self) -> EvacuationStore:
        if self.evacuations is None or self.watch is None or not self.watch.is_writable:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                "another system manages the evacuations of this fleet; use that system",
                step="evacuation.write",
            )
        return self.evacuations

    def close(self) -> None:
        """Cancel all timers."""
        for timer in self.timers:
            timer.cancel()


def make_evacuation_service(
    store: ObjectStore,
    prefix: str,
    directory: Directory,
    publish: Publish,
    clock: Clock,
    rng: random.Random,
    is_watcher: Callable[[], bool],
    is_writable: bool,
    on_change: Callable[[frozenset[str]], None],
) -> EvacuationService:
    """Return the evacuation service of a node, which knows of no evacuations yet.

    With an empty ``prefix`` the store holds no evacuations, and is not read.
    """
    service = EvacuationService(store, directory, publish, clock, on_change)
    store.on_epoch_change(service.epoch_changed)
    if prefix:
        service.evacuations = EvacuationStore(store, prefix, clock, rng)
        service.watch = EvacuationWatch(
            service.evacuations,
            is_watcher,
            is_writable,
            service.handle_snapshot,
            lambda: frozenset(service.policy.held_until),
            clock,
            rng,
        )
    return service
