"""Evacuated data centres as a running part of a node."""

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
from marjoramtide.evacuation._evacuation_store import EvacuationStore, record_of
from marjoramtide.evacuation._evacuation_watch import EvacuationWatch
from marjoramtide.evacuation._store_news import StoreNews, unpack_store_news
from marjoramtide.membership import Directory, Member
from marjoramtide.policy import EvacuationSnapshot, EvacuationState
from marjoramtide.settings.sync import SideNews
from marjoramtide.store import ObjectStore

log = structlog.get_logger()

# News is told to all at once, and again after so many seconds, for what was lost on the way. Each
# node also asks another one for it as often as for the settings.
TOLD_AGAIN_S = 0.25
# A timer may fire a little early, and is not set again.
AFTER_S = 0.05

Publish = Callable[[list[Any], Iterable[Member]], None]


@attrs.define(slots=True, eq=False, repr=False)
class EvacuationService(SideNews):
    """Knows which data centres are evacuated, and lets the other nodes know.

    The nodes that watch the store tell all others, who tell whoever asks them. A node that starts
    learns it with its settings, from the same peer or from the store, before it serves.

    ``changed`` is called with the names in force whenever they have changed. ``watch`` is ``None``
    where the store can hold no evacuations; the store's epoch is told in any case.
    """

    store: ObjectStore
    directory: Directory
    publish: Publish
    clock: Clock
    changed: Callable[[frozenset[str]], None]
    policy: EvacuationState = attrs.Factory(EvacuationState)
    evacuations: EvacuationStore | None = None
    watch: EvacuationWatch | None = None
    in_force: frozenset[str] = frozenset()
    listens: bool = False
    timers: list[asyncio.TimerHandle] = attrs.Factory(list)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        if self.watch is not None:
            await self.watch.run()
        await asyncio.Event().wait()

    # What the store says

    def take_stored(self, told: EvacuationSnapshot) -> None:
        """Take in what was read in the store, and tell the others where it is news."""
        if self._take(told, "store"):
            self.tell()

    def epoch_changed(self, epoch: int) -> None:
        """Tell the others that the store has come back from a copy, unless they have told this."""
        if not self.listens:
            self.tell()

    async def read_store(self) -> None:
        # Not told on: a fleet that starts has each node read it.
        if self.watch is not None:
            self._take(await self.watch.read(), "store")

    # What nodes tell each other

    def tell(self) -> None:
        """Tell all other nodes at once, and again for those that a datagram did not reach."""
        self._publish()
        loop = asyncio.get_running_loop()
        self.timers = [timer for timer in self.timers if timer.when() > loop.time()]
        self.timers.append(loop.call_later(TOLD_AGAIN_S, self._publish))

    def told(self) -> list[Any]:
        news = StoreNews(self.store.epoch, self.policy.snapshot(self.clock.monotonic()))
        return news.pack()

    def take(self, fields: list[Any], source: str) -> None:
        try:
            news = unpack_store_news(fields)
        except MalformedError as error:
            log.warning(
                "evacuation.malformed",
                code=ErrorCode.BAD_FRAME,
                step="evacuation.take",
                peer=source,
                reason=str(error),
            )
            return
        self.listens = True
        self.store.observe_epoch(news.epoch)
        self.listens = False
        self._take(news.evacuated, source)

    def _publish(self) -> None:
        own = self.directory.self_member.node
        others = [member for member in self.directory.members() if member.node != own]
        self.publish(self.told(), others)

    def _take(self, told: EvacuationSnapshot, source: str) -> bool:
        now = self.clock.monotonic()
        is_new = self.policy.merge(told, now)
        if is_new:
            self.refresh(source)
            self._look_again(now)
        return is_new

    def refresh(self, source: str = "time") -> None:
        """Put into force what has changed, also by the time that has passed."""
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
            unknown=sorted(set(begun) - self._known_places()),
        )
        self.changed(names)

    def _look_again(self, now: float) -> None:
        due = self.policy.next_expiry()
        if due is not None:
            loop = asyncio.get_running_loop()
            self.timers.append(loop.call_later(max(0.0, due - now) + AFTER_S, self.refresh))

    def _known_places(self) -> set[str]:
        return {member.data_centre for member in self.directory.members()}

    # What operators do

    async def evacuate(self, data_centre: str, author: str) -> None:
        """Evacuate a data centre; raises ``not-found`` where no node is in it, else as the store.

        A name that nobody has would have no effect, and is most likely a wrong one.
        """
        written = self._writable()
        if data_centre not in self._known_places():
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND,
                f"no node is in a data centre named {data_centre[:100]!r}; known: "
                + ", ".join(sorted(self._known_places())),
                step="evacuation.evacuate",
            )
        await written.write(data_centre, EvacuationRecord(author, self.clock.wall()).encode())
        await self._read_and_tell()

    async def release(self, data_centre: str) -> None:
        """Take an evacuation back; raises ``not-found`` where there is none, else as the store."""
        await self._writable().remove(data_centre)
        await self._read_and_tell()

    async def _read_and_tell(self) -> None:
        """Put what was just written into force; the nodes that watch the store tell it as well."""
        assert self.watch is not None
        try:
            self.take_stored(await self.watch.read())
        except MarjoramtideError as error:
            log.info("evacuation.read", code=error.code, reason=error.message)

    async def shown(self) -> list[dict[str, Any]]:
        """Return what is in force, by whom and since when, as plain values.

        Where the store doesn't answer, by whom and since when is left open.
        """
        try:
            await self.read_store()
        except MarjoramtideError as error:
            log.info("evacuation.read", code=error.code, reason=error.message)
        records = self.watch.records if self.watch is not None else {}
        return [
            {"data_centre": name} | attrs.asdict(record_of(name, records.get(name) or b"{}"))
            for name in sorted(self.in_force)
        ]

    def _writable(self) -> EvacuationStore:
        if self.evacuations is None or self.watch is None or not self.watch.is_ours:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                "data centres of this fleet are evacuated by another system; do it there",
                step="evacuation.write",
            )
        return self.evacuations

    def close(self) -> None:
        """Look no more."""
        for timer in self.timers:
            timer.cancel()


def make_evacuations(
    store: ObjectStore,
    prefix: str,
    directory: Directory,
    publish: Publish,
    clock: Clock,
    rng: random.Random,
    is_watcher: Callable[[], bool],
    is_ours: bool,
    changed: Callable[[frozenset[str]], None],
) -> EvacuationService:
    """Return the evacuations of a node, which knows of none yet.

    With an empty ``prefix`` the store can hold none, and is not asked for them.
    """
    service = EvacuationService(store, directory, publish, clock, changed)
    store.on_epoch_change(service.epoch_changed)
    if prefix:
        service.evacuations = EvacuationStore(store, prefix, clock, rng)
        service.watch = EvacuationWatch(
            service.evacuations,
            is_watcher,
            is_ours,
            service.take_stored,
            lambda: frozenset(service.policy.held_until),
            clock,
            rng,
        )
    return service
