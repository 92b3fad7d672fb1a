"""A fleet of settings services in one event loop, with a manual clock and injected faults."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import attrs

from marjoramtide.clock import Clock, ManualClock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import Announcement, Directory, Member, MemberState
from marjoramtide.peers import ControlChannel
from marjoramtide.settings import NodeSettings
from marjoramtide.settings.sync import SettingsService, make_settings_service
from marjoramtide.store import Listing, ObjectStore, StoredObject, WatchEvent

STEP_S = 0.05


class InlineExecutor(ThreadPoolExecutor):
    """Runs submitted work synchronously, so that the order of events is deterministic."""

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> "Future[Any]":
        done: Future[Any] = Future()
        try:
            done.set_result(fn(*args, **kwargs))
        except BaseException as error:
            done.set_exception(error)
        return done


def store_error(code: ErrorCode) -> MarjoramtideError:
    return MarjoramtideError(code, "fake", step="fake")


class FakeStore:
    """Versioned objects; ``write_faults`` holds the fault of each of the next tree writes."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.events: list[WatchEvent] = []
        self.version = 0
        self.down = False
        self.hangs = False
        self.write_faults: list[str] = []
        self.delayed_write: Callable[[], None] | None = None
        self.stale_objects: dict[str, StoredObject] | None = None
        self.stale_reads = 0
        self.drops_events = False
        self.reports_gap = False
        self.tree_writes = 0
        self.before_write: Callable[[], Coroutine[Any, Any, None]] | None = None

    def apply(self, key: str, value: bytes, version: int | None) -> StoredObject:
        held = self.objects.get(key)
        if (held.version if held else None) != version:
            raise store_error(ErrorCode.VERSION_CONFLICT)
        self.version += 1
        stored = StoredObject(key, value, self.version)
        self.objects[key] = stored
        self.events.append(WatchEvent(key, self.version, stored))
        self.tree_writes += key == "settings/tree"
        return stored

    def read(self, key: str) -> StoredObject:
        objects = self.objects
        if self.stale_objects is not None and self.stale_reads:
            self.stale_reads -= 1
            objects = self.stale_objects
        if key not in objects:
            raise store_error(ErrorCode.NOT_FOUND)
        return objects[key]

    async def write(self, key: str, value: bytes, version: int | None) -> StoredObject:
        if key != "settings/tree":
            return self.apply(key, value, version)
        if self.before_write:
            hook, self.before_write = self.before_write, None
            await hook()
        fault = self.write_faults.pop(0) if self.write_faults else ""
        if fault == "applied":
            self.apply(key, value, version)
        if fault == "late":
            self.delayed_write = lambda: self.apply_delayed(key, value, version)
        if fault:
            raise store_error(ErrorCode.STORE_AMBIGUOUS)
        return self.apply(key, value, version)

    def apply_delayed(self, key: str, value: bytes, version: int | None) -> None:
        with contextlib.suppress(MarjoramtideError):
            self.apply(key, value, version)


@attrs.define(eq=False)
class Node:
    """One node: whether it runs, what it reaches, and which members it knows."""

    member: Member
    fleet: "Fleet"
    known: dict[str, Member] = attrs.field(factory=dict)
    handlers: dict[str, Any] = attrs.field(factory=dict)
    listeners: list[Callable[[Member], None]] = attrs.field(factory=list)
    running: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_store_cut_off: bool = False
    freezes_on_response: bool = False
    times_out: bool = False
    partition: int = 0
    service: SettingsService = attrs.field(init=False)
    task: "asyncio.Task[None] | None" = None

    @property
    def is_frozen(self) -> bool:
        return not self.running.is_set()

    def reaches(self, other: "Node") -> bool:
        return (
            self.partition == other.partition
            and not (self.is_frozen or other.is_frozen)
            and bool(other.task)
        )


@attrs.define
class NodeClock(Clock):
    node: Node

    def monotonic(self) -> float:
        return self.node.fleet.clock.monotonic()

    def wall(self) -> float:
        return self.node.fleet.clock.wall()

    async def sleep(self, seconds: float) -> None:
        await self.node.fleet.clock.sleep(seconds)
        await self.node.running.wait()


@attrs.define
class NodeStore(ObjectStore):
    """The store as one node reaches it."""

    node: Node

    def store(self) -> FakeStore:
        store = self.node.fleet.store
        if store.down or self.node.is_store_cut_off:
            raise store_error(ErrorCode.STORE_UNAVAILABLE)
        return store

    async def finish(self, store: FakeStore) -> None:
        if store.delayed_write:
            delayed_write, store.delayed_write = store.delayed_write, None
            delayed_write()
        await asyncio.sleep(0)
        await self.node.running.wait()

    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        store = self.store()
        if store.hangs:
            await self.node.fleet.clock.sleep(timeout)
            raise store_error(ErrorCode.STORE_UNAVAILABLE)
        found = store.read(key) if key in store.objects else None
        await self.finish(store)
        if found is None:
            raise store_error(ErrorCode.NOT_FOUND)
        return found

    async def list(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        store = self.store()
        found = [held for key, held in sorted(store.objects.items()) if prefix in key]
        return Listing(found, store.version)

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        stored = await self.store().write(key, value, None)
        await self.finish(self.node.fleet.store)
        return stored

    async def update(
        self, key: str, value: bytes, version: int, *, timeout: float = 2.0
    ) -> StoredObject:
        stored = await self.store().write(key, value, version)
        await self.finish(self.node.fleet.store)
        return stored

    async def delete(self, key: str, version: int, *, timeout: float = 2.0) -> None:
        store = self.store()
        store.objects.pop(key, None)
        store.version += 1

    async def watch(
        self, prefix: str, since: int, *, wait: float = 30.0
    ) -> AsyncIterator[WatchEvent]:
        clock = self.node.fleet.clock
        until = clock.monotonic() + wait
        while clock.monotonic() < until:
            store = self.store()
            if store.reports_gap:
                store.reports_gap = False
                raise store_error(ErrorCode.NOT_FOUND)
            for event in [] if store.drops_events else list(store.events):
                if event.version > since and event.key.startswith(prefix):
                    since = event.version
                    await self.node.running.wait()
                    yield event
            await clock.sleep(STEP_S)

    async def close(self) -> None:
        pass


@attrs.define
class NodeChannel(ControlChannel):
    node: Node

    async def ask(
        self,
        address: str,
        subject: str,
        body: dict[str, Any],
        *,
        timeout: float = 2.0,
        small: bool = False,
    ) -> dict[str, Any]:
        other = self.node.fleet.nodes[address]
        if not self.node.reaches(other) or other.times_out:
            await NodeClock(self.node).sleep(timeout)
            raise MarjoramtideError(ErrorCode.PEER_LOST, "no answer", step="ask", peer=address)
        answer: dict[str, Any] = await other.handlers[subject](body)
        if self.node.freezes_on_response:
            self.node.freezes_on_response = False
            self.node.running.clear()
        await asyncio.sleep(0)
        await self.node.running.wait()
        return answer

    def register_handler(self, subject: str, handler: Any) -> None:
        self.node.handlers[subject] = handler


@attrs.define
class NodeDirectory(Directory):
    node: Node

    @property
    def self_member(self) -> Member:
        return self.node.member

    def members(self) -> list[Member]:
        return [self.node.member, *self.node.known.values()]

    def members_of(self, service: str) -> list[Member]:
        return [member for member in self.members() if member.service == service]

    def find(self, node: str) -> Member | None:
        return next((member for member in self.members() if member.node == node), None)

    def set_state(self, state: MemberState) -> None:
        self.node.member = attrs.evolve(self.node.member, state=state)

    def set_settings(self, revision: int, digest: str) -> None:
        self.node.member = attrs.evolve(self.node.member, revision=revision, digest=digest)

    def report_failure(self, node: str) -> None:
        pass

    def on_change(self, listener: Callable[[Member], None]) -> None:
        self.node.listeners.append(listener)


class Fleet:
    """Nodes that share a store; ``gossips`` is false if members learn nothing of each other."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.loop.set_default_executor(InlineExecutor())
        self.clock = ManualClock()
        self.store = FakeStore()
        self.nodes: dict[str, Node] = {}
        self.gossips = True

    def add(self, name: str, region: str = "west", data_centre: str = "north") -> Node:
        """Add a node; one with the name of an earlier node replaces it as a new process."""
        member = Member(name, "mapdesk", region, data_centre, name, name, name, MemberState.READY)
        node = Node(member, self)
        node.running.set()
        address = "127.0.0.1:1"
        settings = NodeSettings(
            "mapdesk", region, data_centre, *[address] * 5, store="-", key="k" * 16
        )
        node.service = make_settings_service(
            settings,
            NodeStore(node),
            NodeDirectory(node),
            NodeChannel(node),
            NodeClock(node),
            random.Random(name),
        )
        self.nodes[name] = node
        announcement = Announcement(name, "mapdesk", region, data_centre, name, address, name, 0.0)
        held = self.store.objects.get(announcement.key)
        self.store.apply(announcement.key, announcement.encode(), held.version if held else None)
        return node

    def start(self, node: Node) -> None:
        node.task = self.loop.create_task(node.service.run())

    def stop(self, node: Node) -> None:
        if node.task:
            node.task.cancel()
            self.loop.run_until_complete(asyncio.gather(node.task, return_exceptions=True))
        node.task = None
        for other in self.nodes.values():
            other.known.pop(node.member.node, None)

    def gossip(self) -> None:
        for node in self.nodes.values():
            for other in self.nodes.values() if self.gossips else ():
                if node is other or not node.reaches(other) or not node.task:
                    continue
                if node.known.get(other.member.node) != other.member:
                    node.known[other.member.node] = other.member
                    for listener in node.listeners:
                        listener(other.member)

    async def advance(self, seconds: float) -> None:
        """Advance the clock in small steps and run all ready tasks after each."""
        for _ in range(round(seconds / STEP_S)):
            self.gossip()
            self.clock.advance(STEP_S)
            for _ in range(30):
                await asyncio.sleep(0)

    def run(self, work: Coroutine[Any, Any, Any], max_s: float = 120.0) -> Any:
        """Run ``work`` while the clock advances; raises ``TimeoutError`` after ``max_s``
        seconds.
        """

        async def drive() -> Any:
            task = asyncio.ensure_future(work)
            until = self.clock.monotonic() + max_s
            while not task.done():
                if self.clock.monotonic() > until:
                    task.cancel()
                    raise TimeoutError(f"not done after {max_s} s")
                await self.advance(STEP_S)
            return task.result()

        return self.loop.run_until_complete(drive())

    def pass_time(self, seconds: float) -> None:
        self.loop.run_until_complete(self.advance(seconds))

    def close(self) -> None:
        for node in list(self.nodes.values()):
            node.running.set()
            self.stop(node)
        self.loop.close()
