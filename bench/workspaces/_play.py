"""One play of real nodes whose callers have keys."""

import asyncio
import itertools
import math
import random
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import attrs

from bench.limits._limit_plan import NodeEvent
from bench.limits._play import until
from bench.quota._tally import admitted_by_one
from bench.workspaces._fleet import (
    GONE,
    KEYS,
    LARGE,
    REVOKED_AFTER_S,
    SMALL,
    SMALL_QUOTA,
    WorkspaceFleet,
)
from bench.workspaces._plan import Quota, WorkspacePlan
from bench.workspaces._tally import KeyedCall, WorkspaceTally, worst_excess

SMALL_SHARE = 0.6
GONE_PER_S = 10.0
UNREACHED = 0
# A changed quota binds once it is in force everywhere and a window has passed since.
BINDS_AFTER_S = 2.5 + 5.0
SERVICE_MS = 40.0


@attrs.define(slots=True, eq=False)
class WorkspacePlay:
    """Runs a plan against a fleet, and keeps what becomes of each request."""

    plan: WorkspacePlan
    fleet: WorkspaceFleet
    rng: random.Random
    calls: list[KeyedCall] = attrs.Factory(list)
    down: set[int] = attrs.Factory(set)
    numbers: "itertools.count[int]" = attrs.Factory(lambda: itertools.count(1))
    began: float = 0.0
    changed_at: float = 0.0
    revoked_at: float = 0.0

    async def run(self) -> None:
        self.began = time.monotonic()
        rates = {
            LARGE: self.plan.quota.per_s * self.plan.hot,
            SMALL: SMALL_QUOTA.per_s * SMALL_SHARE,
            GONE: GONE_PER_S,
        }
        await asyncio.gather(
            *(self.come(name, per_s) for name, per_s in rates.items()),
            *(self.strike(event) for event in self.plan.events),
            self.change_quota(),
            self.take_key_away(),
        )

    async def come(self, workspace: str, per_s: float) -> None:
        """Send requests of a workspace, and wait for all of them."""
        sent: list[asyncio.Task[None]] = []
        for turn in self.turns(self.plan.how if workspace == LARGE else "random"):
            await asyncio.sleep(self.rng.expovariate(per_s))
            if time.monotonic() > self.began + self.plan.seconds:
                break
            sent.append(asyncio.create_task(self.ask(workspace, turn)))
        await asyncio.gather(*sent)

    def turns(self, how: str) -> Iterator[int]:
        """Yield the nodes by which requests enter."""
        for number in itertools.count():
            up = [each for each in range(self.plan.nodes) if each not in self.down] or [0]
            second = int(time.monotonic() - self.began)
            choices = {
                "spread": up[number % len(up)],
                "one": up[0],
                "moving": up[second % len(up)],
                "random": self.rng.choice(up),
            }
            yield choices[how]

    async def ask(self, workspace: str, turn: int) -> None:
        attempt, sent = f"{next(self.numbers):016x}", time.monotonic()
        try:
            reply = await self.fleet.send(turn, attempt, KEYS[workspace])
            status = reply.status
        except (OSError, TimeoutError, aiohttp.ClientError):
            status = UNREACHED
        self.calls.append(KeyedCall(attempt, workspace, sent, status))

    async def change_quota(self) -> None:
        await until(self.began + self.plan.changes_at_s)
        self.fleet.quota = self.plan.later
        self.fleet.change()
        self.changed_at = time.monotonic()

    async def take_key_away(self) -> None:
        await until(self.began + self.plan.revoked_at_s)
        self.fleet.revoked = True
        self.fleet.change()
        self.revoked_at = time.monotonic()

    async def strike(self, event: NodeEvent) -> None:
        await until(self.began + event.at_s)
        seat, store = self.fleet.seats[event.node], self.fleet.store
        address = seat.settings["store"].removeprefix("http://")
        match event.kind:
            case "store" | "outage":
                store.mode = "reset" if event.kind == "store" else "refuse"
                await asyncio.sleep(event.for_s)
                store.mode = "up"
            case "turned away":
                store.refused_addresses.add(address)
                await asyncio.sleep(2 * event.for_s)
                store.refused_addresses.discard(address)
            case _ if event.node in self.down:
                return
            case "freeze":
                assert seat.process is not None
                self.down.add(event.node)
                seat.process.freeze()
                await asyncio.sleep(event.for_s)
                seat.process.thaw()
                self.down.discard(event.node)
            case "kill":
                assert seat.process is not None
                self.down.add(event.node)
                await seat.process.kill()
                await asyncio.sleep(event.for_s)
                await self.fleet.start(seat)
                self.down.discard(event.node)

    def tally(self) -> WorkspaceTally:
        ran = {each.attempt: each.at for seat in self.fleet.seats for each in seat.server.received}
        seen = {
            headers.get("x-attempt-id", ""): headers
            for seat in self.fleet.seats
            for headers in seat.server.executed_headers
        }
        large = [
            (each.sent, ran[each.attempt])
            for each in self.calls
            if each.workspace == LARGE and each.attempt in ran
        ]
        whole = max(self.plan.quota, self.plan.later, key=lambda each: each.per_s)
        late_from = self.revoked_at + REVOKED_AFTER_S
        good_for = {LARGE, SMALL}
        return WorkspaceTally(
            excess=max(
                worst_excess(large, whole, self.began),
                worst_excess(large, self.plan.later, self.changed_at + BINDS_AFTER_S),
            ),
            late_runs=sum(
                each.workspace == GONE and each.sent > late_from and each.attempt in ran
                for each in self.calls
            ),
            misnamed=sum(
                seen[each.attempt].get("x-tenant-name") != each.workspace
                for each in self.calls
                if each.attempt in seen
            ),
            shown_keys=sum("key-of" in str(headers) for headers in seen.values()),
            denied=sum(each.workspace in good_for and each.status == 401 for each in self.calls),
            large_served=self.served(LARGE, self.plan.quota, self.began, self.changed_at),
            small_served=self.served(SMALL, SMALL_QUOTA, self.began, math.inf),
            statuses=Counter(each.status for each in self.calls),
        )

    def served(self, workspace: str, quota: Quota, begins: float, ends: float) -> float:
        """Return the share of what one bucket would have admitted of what reached a node."""
        calls = [
            each
            for each in self.calls
            if each.workspace == workspace and each.status and begins <= each.sent < ends
        ]
        owed = admitted_by_one([each.sent for each in calls], quota.per_s, quota.burst, begins)
        return sum(each.status == 200 for each in calls) / max(1, owed)


async def play_workspaces(plan: WorkspacePlan, folder: Path) -> WorkspaceTally:
    """Play one plan; the processes' logs stay in ``folder``."""
    fleet = WorkspaceFleet(folder, plan.nodes, SERVICE_MS)
    fleet.quota = plan.quota
    async with fleet:
        play = WorkspacePlay(plan, fleet, random.Random(plan.seed))
        await play.run()
        return play.tally()
