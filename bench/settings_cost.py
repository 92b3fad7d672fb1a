"""Measures the cost per node of following the shared settings, and extrapolates it.

Fleets of settings services run in one process and in real time, without sockets: messages are
encoded as between nodes and counted, the members know each other from the start, and all of them
learn of a change immediately. So the figures are those of the settings alone; ``bench.control``
measures the cost of gossip. The fleet's cost is fitted linearly over its size.
"""

import argparse
import asyncio
import random
import statistics
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import cbor2
import structlog

from bench.memory_store import MemoryStore
from marjoramtide.clock import SystemClock
from marjoramtide.membership import Directory, Member, MemberState
from marjoramtide.peers import ControlChannel
from marjoramtide.settings import Edit, EditAction, NodeSettings
from marjoramtide.settings.sync import ChangeRequest, SettingsService, make_settings_service
from marjoramtide.store import StoredObject, WatchEvent

SIZES = (10, 50, 100, 200)
TARGET = 790
CHANGES_A_DAY = 910
DAY_S = 86400
DATA_CENTRES = 10
SERVICES = 53
ROUTES = 5
WINDOW_S = 8.0
SETTLING_S = 5.0
CHANGES = 3
WATCH_POLL_S = 0.05


class CountingStore(MemoryStore):
    """Counts calls; a watch polls for a newer version."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: Counter[str] = Counter()

    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        self.calls["reads"] += 1
        return await super().get(key, timeout=timeout)

    async def watch(
        self, prefix: str, since: int, *, wait: float = 30.0
    ) -> AsyncIterator[WatchEvent]:
        self.calls["watches"] += 1
        until = time.monotonic() + wait
        while time.monotonic() < until:
            stored = self.objects.get(prefix)
            if stored and stored.version > since:
                since = stored.version
                yield WatchEvent(prefix, since, stored)
            await asyncio.sleep(WATCH_POLL_S)


class Fleet:
    """Settings services that call each other directly."""

    def __init__(self, size: int) -> None:
        self.store = CountingStore()
        self.clock = SystemClock()
        self.members: dict[str, Member] = {}
        self.handlers: dict[str, dict[str, Any]] = {}
        self.listeners: list[Callable[[Member], None]] = []
        self.messages = 0
        self.message_bytes = 0
        self.services = [self.add(number) for number in range(size)]

    def add(self, number: int) -> SettingsService:
        name, data_centre = f"127.0.0.1:{number + 1}", number % DATA_CENTRES
        member = Member(
            name,
            "s0",
            f"r{data_centre % 2}",
            f"d{data_centre}",
            name,
            name,
            name,
            MemberState.READY,
        )
        self.members[name] = member
        self.handlers[name] = {}
        node_settings = NodeSettings(
            "s0", member.region, member.data_centre, *[name] * 5, store="-", key="k" * 16
        )
        return make_settings_service(
            node_settings,
            self.store,
            FleetDirectory(self, name),
            FleetChannel(self, name),
            self.clock,
            random.Random(number),
        )

    async def change(self, number: int) -> None:
        """Change one value, and wait until it is in force at every node."""
        service = self.services[0]
        edit = Edit(EditAction.SET, "/services/s0", "timeout_ms", 400 + number)
        base = service.view.revision
        outcome = await service.change(ChangeRequest(author="bench", base=base, edits=(edit,)))
        assert outcome.in_force, outcome


@attrs.define(slots=True)
class FleetChannel(ControlChannel):
    """Encodes and counts requests and responses."""

    fleet: Fleet
    node: str

    async def ask(
        self, address: str, subject: str, body: dict[str, Any], *, timeout: float = 2.0
    ) -> dict[str, Any]:
        await asyncio.sleep(0)
        request = cbor2.dumps([subject, body])
        answer = cbor2.dumps(await self.fleet.handlers[address][subject](cbor2.loads(request)[1]))
        self.fleet.messages += 1
        self.fleet.message_bytes += len(request) + len(answer)
        response: dict[str, Any] = cbor2.loads(answer)
        return response

    def answer(self, subject: str, handler: Any) -> None:
        self.fleet.handlers[self.node][subject] = handler


@attrs.define(slots=True)
class FleetDirectory(Directory):
    """A directory in which all members know all changes immediately."""

    fleet: Fleet
    node: str

    @property
    def self_member(self) -> Member:
        return self.fleet.members[self.node]

    def members(self) -> list[Member]:
        return list(self.fleet.members.values())

    def members_of(self, service: str) -> list[Member]:
        return self.members()

    def find(self, node: str) -> Member | None:
        return self.fleet.members.get(node)

    def set_state(self, state: MemberState) -> None:
        """States don't change here."""

    def set_settings(self, revision: int, digest: str) -> None:
        member = attrs.evolve(self.self_member, revision=revision, digest=digest)
        self.fleet.members[self.node] = member
        for listener in self.fleet.listeners:
            listener(member)

    def report_failure(self, node: str) -> None:
        """Members don't fail here."""

    def on_change(self, listener: Callable[[Member], None]) -> None:
        self.fleet.listeners.append(listener)


def make_text() -> str:
    """Return a settings tree of the size expected in production."""
    lines = ["timeout_ms = 900"]
    for data_centre in range(DATA_CENTRES):
        region = f"regions.r{data_centre % 2}"
        lines.append(f"[{region}.data_centres.d{data_centre}]\nmax_depth = 20")
    for number in range(SERVICES):
        lines.append(f"[services.s{number}]\nslots = 20\ntimeout_ms = 700\nqueue_limit = 30")
        lines += [
            f"[services.s{number}.routes.'/p{route}']\nidempotent = 'yes'\ntimeout_ms = 500"
            for route in range(ROUTES)
        ]
    return "\n".join(lines)


async def measure(size: int) -> dict[str, float]:
    """Measure one fleet; the figures are per node."""
    fleet = Fleet(size)
    initial = ChangeRequest(author="bench", base=0, text=make_text(), wait_s=0)
    await fleet.services[0].change(initial)
    tasks = [asyncio.create_task(service.run()) for service in fleet.services]
    await asyncio.sleep(SETTLING_S)
    fleet.store.calls.clear()
    fleet.messages = fleet.message_bytes = 0
    cpu = time.process_time()
    await asyncio.sleep(WINDOW_S)
    steady = {
        "questions_per_s": fleet.messages / size / WINDOW_S,
        "bytes_per_s": 2 * fleet.message_bytes / size / WINDOW_S,
        "cpu_percent": (time.process_time() - cpu) / size / WINDOW_S * 100,
        "store_reads_per_s": fleet.store.calls["reads"] / size / WINDOW_S,
    }
    fleet.messages = fleet.message_bytes = 0
    cpu, began = time.process_time(), time.monotonic()
    for number in range(CHANGES):
        await fleet.change(number)
    spent = (time.process_time() - cpu) / size
    spent -= (time.monotonic() - began) * steady["cpu_percent"] / 100
    changed = {
        "change_cpu_ms": spent * 1000 / CHANGES,
        "change_bytes": 2 * fleet.message_bytes / size / CHANGES,
    }
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return steady | changed


def print_fit(name: str, sizes: list[int], values: list[float]) -> None:
    """Fit the fleet's cost; its fixed part is that of the store and the changing node."""
    totals = [value * size for value, size in zip(values, sizes, strict=True)]
    slope, fixed = statistics.linear_regression(sizes, totals)
    fitted = [fixed + slope * size for size in sizes]
    residual = max(abs(one - two) for one, two in zip(fitted, totals, strict=True))
    each = slope + fixed / TARGET
    print(
        f"{name:16} fleet: {fixed:.3g} + {slope:.3g} x nodes, residual {residual:.2g}; "
        f"for each of {TARGET}: {each:.3g}"
    )
    if name == "change_bytes":
        print(f"{'':16} at {CHANGES_A_DAY} changes a day: {each * CHANGES_A_DAY / DAY_S:.3g} B/s")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    sizes = parser.parse_args().sizes
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    results = []
    for size in sizes:
        results.append(asyncio.run(measure(size)))
        figures = "  ".join(f"{name} {value:.3g}" for name, value in results[-1].items())
        print(f"{size} nodes: {figures}", flush=True)
    print(f"tree of {len(make_text())} bytes; bytes count both ends of each message")
    if len(sizes) > 1:
        for name in results[0]:
            print_fit(name, sizes, [one[name] for one in results])
    return 0


if __name__ == "__main__":
    sys.exit(main())
