"""Runs one test of real nodes whose callers send keys."""

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
from bench.limits._play import wait_until
from bench.quota._tally import admitted_by_single_bucket
from bench.workspaces._fleet import (
    KEYS,
    LARGE,
    REVOKED,
    REVOKED_AFTER_S,
    SMALL,
    SMALL_QUOTA,
    WorkspaceFleet,
)
from bench.workspaces._plan import Quota, WorkspacePlan
from bench.workspaces._tally import KeyedCall, WorkspaceTally, worst_excess
from standins.platform import FaultKind, StoreFault

SMALL_SHARE = 0.6
GONE_PER_S = 10.0
NO_RESPONSE = 0
# A changed quota is checked once it is in force at all nodes and a window has passed since.
QUOTA_CHANGE_GRACE_S = 2.5 + 5.0
SERVICE_MS = 40.0


@attrs.define(slots=True, eq=False)
class WorkspaceScenario:
    """Runs a plan against a fleet, and records the outcome of each request."""

    plan: WorkspacePlan
    fleet: WorkspaceFleet
    rng: random.Random
    calls: list[KeyedCall] = attrs.Factory(list)
    down: set[int] = attrs.Factory(set)
    numbers: "itertools.count[int]" = attrs.Factory(lambda: itertools.count(1))
    started_at: float = 0.0
    changed_at: float = 0.0
    revoked_at: float = 0.0

    async def run(self) -> None:
        self.started_at = time.monotonic()
        rates = {
            LARGE: self.plan.quota.per_s * self.plan.surge_factor,
            SMALL: SMALL_QUOTA.per_s * SMALL_SHARE,
            REVOKED: GONE_PER_S,
        }
        await asyncio.gather(
            *(self.send_requests(name, per_s) for name, per_s in rates.items()),
            *(self.inject_fault(event) for event in self.plan.events),
            self.change_quota(),
            self.revoke_key(),
        )

    async def send_requests(self, workspace: str, per_s: float) -> None:
        """Send requests of a workspace, and wait for all responses."""
        sent: list[asyncio.Task[None]] = []
        for turn in self.entry_nodes(self.plan.entry_pattern if workspace == LARGE else "random"):
            await asyncio.sleep(self.rng.expovariate(per_s))
            if time.monotonic() > self.started_at + self.plan.seconds:
                break
            sent.append(asyncio.create_task(self.send_request(workspace, turn)))
        await asyncio.gather(*sent)

    def entry_nodes(self, entry_pattern: str) -> Iterator[int]:
        """Yield the node for each request."""
        for number in itertools.count():
            up = [each for each in range(self.plan.nodes) if each not in self.down] or [0]
            second = int(time.monotonic() - self.started_at)
            choices = {
                "spread": up[number % len(up)],
                "one": up[0],
                "moving": up[second % len(up)],
                "random": self.rng.choice(up),
            }
            yield choices[entry_pattern]

    async def send_request(self, workspace: str, turn: int) -> None:
        attempt, sent = f"{next(self.numbers):016x}", time.monotonic()
        try:
            response = await self.fleet.send(turn, attempt, KEYS[workspace])
            status = response.status
        except (OSError, TimeoutError, aiohttp.ClientError):
            status = NO_RESPONSE
        self.calls.append(KeyedCall(attempt, workspace, sent, status))

    async def change_quota(self) -> None:
        await wait_until(self.started_at + self.plan.changes_at_s)
        self.fleet.quota = self.plan.changed_quota
        self.fleet.change()
        self.changed_at = time.monotonic()

    async def revoke_key(self) -> None:
        await wait_until(self.started_at + self.plan.revoked_at_s)
        self.fleet.revoked = True
        self.fleet.change()
        self.revoked_at = time.monotonic()

    async def inject_fault(self, event: NodeEvent) -> None:
        await wait_until(self.started_at + event.at_s)
        host, store = self.fleet.hosts[event.node], self.fleet.store
        address = host.settings["store"].removeprefix("http://")
        match event.kind:
            case "store" | "outage":
                store.mode = "reset" if event.kind == "store" else "refuse"
                await asyncio.sleep(event.for_s)
                store.mode = "up"
            case "turned away":
                store.set_fault(address, StoreFault(FaultKind.REFUSAL))
                await asyncio.sleep(2 * event.for_s)
                store.set_fault(address, None)
            case _ if event.node in self.down:
                return
            case "freeze":
                assert host.process is not None
                self.down.add(event.node)
                host.process.freeze()
                await asyncio.sleep(event.for_s)
                host.process.thaw()
                self.down.discard(event.node)
            case "kill":
                assert host.process is not None
                self.down.add(event.node)
                await host.process.kill()
                await asyncio.sleep(event.for_s)
                await self.fleet.start(host)
                self.down.discard(event.node)

    def tally(self) -> WorkspaceTally:
        received_at = {
            each.attempt: each.at for host in self.fleet.hosts for each in host.server.received
        }
        seen = {
            headers.get("x-attempt-id", ""): headers
            for host in self.fleet.hosts
            for headers in host.server.executed_headers
        }
        large = [
            (each.sent, received_at[each.attempt])
            for each in self.calls
            if each.workspace == LARGE and each.attempt in received_at
        ]
        larger_quota = max(self.plan.quota, self.plan.changed_quota, key=lambda each: each.per_s)
        late_from = self.revoked_at + REVOKED_AFTER_S
        good_for = {LARGE, SMALL}
        return WorkspaceTally(
            excess=max(
                worst_excess(large, larger_quota, self.started_at),
                worst_excess(
                    large, self.plan.changed_quota, self.changed_at + QUOTA_CHANGE_GRACE_S
                ),
            ),
            late_runs=sum(
                each.workspace == REVOKED and each.sent > late_from and each.attempt in received_at
                for each in self.calls
            ),
            misnamed=sum(
                seen[each.attempt].get("x-tenant-name") != each.workspace
                for each in self.calls
                if each.attempt in seen
            ),
            shown_keys=sum("key-of" in str(headers) for headers in seen.values()),
            denied=sum(each.workspace in good_for and each.status == 401 for each in self.calls),
            large_served=self.served(LARGE, self.plan.quota, self.started_at, self.changed_at),
            small_served=self.served(SMALL, SMALL_QUOTA, self.started_at, math.inf),
            statuses=Counter(each.status for each in self.calls),
        )

    def served(self, workspace: str, quota: Quota, starts_at: float, ends_at: float) -> float:
        """Return the served requests as a share of those that a single bucket would have admitted.

        Only requests that got a response count.
        """
        calls = [
            each
            for each in self.calls
            if each.workspace == workspace and each.status and starts_at <= each.sent < ends_at
        ]
        admissible = admitted_by_single_bucket(
            [each.sent for each in calls], quota.per_s, quota.burst, starts_at
        )
        return sum(each.status == 200 for each in calls) / max(1, admissible)


async def run_workspace_test(plan: WorkspacePlan, folder: Path) -> WorkspaceTally:
    """Run one plan; ``folder`` keeps the logs of the processes."""
    fleet = WorkspaceFleet(folder, plan.nodes, SERVICE_MS)
    fleet.quota = plan.quota
    async with fleet:
        scenario = WorkspaceScenario(plan, fleet, random.Random(plan.seed))
        await scenario.run()
        return scenario.tally()
