"""Runs some members of a measured fleet in one process, over real UDP on loopback.

``bench.control`` starts several of these and sends them commands on standard input, one JSON object
per line; each command is answered by one JSON object on a line. Times are of the monotonic clock,
which all processes of the machine share.
"""

import argparse
import asyncio
import gc
import json
import logging
import random
import resource
import sys
import time
from collections.abc import Callable
from typing import Any

import structlog

from bench.memory_store import MemoryStore
from marjoramtide.clock import SystemClock
from marjoramtide.membership import Member, MembershipService, MemberState, make_membership
from marjoramtide.settings import NodeSettings

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall", "navrangpura", "gift-city")
SERVICES = 53
SEEDS = 3
POLL_S = 0.02
TIMEOUT_S = 40.0
PAGE_KB = resource.getpagesize() / 1024
# Size of an IPv4 header without options and a UDP header.
HEADER_BYTES = 28


def address_of(number: int, network: int) -> str:
    """Return the address of a member; each has its own in 127.0.0.0/8."""
    return f"127.{network}.{number // 250}.{number % 250 + 1}"


def make_member(number: int, network: int) -> MembershipService:
    """Return one member of the fleet, not yet started."""
    address = address_of(number, network)
    settings = NodeSettings(
        service=f"service-{number % SERVICES}",
        region="viti-west" if number % 5 < 3 else "ahmedabad",
        data_centre=DATA_CENTRES[number % 5],
        callers=f"{address}:7100",
        peers=f"{address}:7101",
        gossip=f"{address}:7102",
        operators=f"{address}:7103",
        backend=f"{address}:7104",
        store="http://127.0.0.1:1",
        key="the key of a measured fleet",
        name=f"instance-{number}",
    )
    member = make_membership(settings, MemoryStore(), SystemClock(), random.SystemRandom())
    # Stands in for the first members' announcements, since there is no store.
    member.core.add_seeds([f"{address_of(seed, network)}:7102" for seed in range(SEEDS)])
    member.announcer.on_announcements = lambda announcements: None
    return member


class FleetPart:
    """The members of this process, with one method per command of the parent."""

    def __init__(self, numbers: range, network: int) -> None:
        self.members = [make_member(number, network) for number in numbers]
        for member in self.members:
            member.on_change(_follower(member))

    async def start(self) -> dict[str, Any]:
        before = resident_kb()
        for member in self.members:
            await member.start()
            member.set_state(MemberState.READY)
            await asyncio.sleep(1.0 / len(self.members))
        return {"at": time.monotonic(), "resident_kb": before}

    async def agreed(self, count: int) -> dict[str, Any]:
        """Wait until every member here knows ``count`` members; return the digests of the views."""

        def complete() -> bool:
            return all(len(member.core.view.live()) == count for member in self.members)

        at = await wait_until(complete)
        return {"at": at, "digests": sorted({m.core.view.digest for m in self.members})}

    async def usage(self) -> dict[str, Any]:
        counters = [member.counters for member in self.members]
        datagrams = sum(item.sent for item in counters)
        return {
            "at": time.monotonic(),
            "cpu": time.process_time(),
            "datagrams": datagrams,
            "sent_bytes": sum(item.sent_bytes for item in counters) + HEADER_BYTES * datagrams,
            "refutations": sum(item.refutations for item in counters),
            "dropped": sum(sum(item.dropped.values()) for item in counters),
        }

    async def memory(self) -> dict[str, Any]:
        return {"resident_kb": resident_kb()}

    async def drain(self, index: int) -> dict[str, Any]:
        member = self.members[index]
        at = time.monotonic()
        member.set_state(MemberState.DRAINING)
        return {"at": at, "node": member.self_member.node}

    async def saw_drain(self, node: str) -> dict[str, Any]:
        """Wait until all members here know that ``node`` is draining."""

        def seen(member: MembershipService) -> bool:
            found = member.find(node)
            return found is not None and found.state is MemberState.DRAINING

        return {"at": await wait_until(lambda: all(map(seen, self.members)))}

    async def set_settings(self, revision: int) -> dict[str, Any]:
        at = time.monotonic()
        self.members[0].set_settings(revision, f"{revision:032x}")
        return {"at": at}

    async def saw_settings(self, revision: int) -> dict[str, Any]:
        """Wait until each member here knows that every member has the revision in force.

        Members adopt a revision as soon as they hear of it: fetching the tree is the work of
        another part of a node and not part of this figure.
        """

        def heard(member: MembershipService) -> bool:
            return member.self_member.revision == revision

        def in_force(member: MembershipService) -> bool:
            return all(found.revision == revision for found in member.members())

        heard_at = await wait_until(lambda: all(map(heard, self.members)))
        return {
            "heard_at": heard_at,
            "at": await wait_until(lambda: all(map(in_force, self.members))),
        }

    async def stop(self) -> dict[str, Any]:
        await asyncio.gather(*(member.stop(leave=False) for member in self.members))
        return {}


def _follower(member: MembershipService) -> Callable[[Member], None]:
    def follow(changed: Member) -> None:
        if changed.revision > member.self_member.revision:
            asyncio.get_running_loop().call_soon(
                member.set_settings, changed.revision, changed.digest
            )

    return follow


async def wait_until(condition: Callable[[], bool]) -> float:
    """Wait until ``condition`` holds and return the time; raises ``TimeoutError``."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)
    return time.monotonic()


def resident_kb() -> float:
    """Return the memory of this process in KB."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_KB


async def serve(part: FleetPart) -> None:
    """Run the parent's commands until ``stop`` or the end of standard input."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        order = json.loads(line)
        action = order.pop("do")
        print(json.dumps(await getattr(part, action)(**order)), flush=True)
        if action == "stop":
            return


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("network", type=int)
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    part = FleetPart(range(options.first, options.first + options.count), options.network)
    asyncio.run(serve(part))


if __name__ == "__main__":
    main()
