"""Runs one test of real nodes beside servers that announce rate limits and leave."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

import attrs

from bench.limits._fleet import LimitFleet, NodeHost
from bench.limits._limit_plan import LimitPlan, NodeEvent
from bench.limits._limit_tally import LimitTally
from bench.limits._limit_watch import AnnouncedRate, FullestWindow, fullest_window
from bench.limits._lookups import Lookups

LIMIT_HEADER, LEAVING_HEADER = "Server-Limit", "Server-Leaving"
DRAIN_S = 2.0
ALTERNATION_S = 1.0
ALTERNATION_STEP_S = 0.05


@attrs.define(slots=True, eq=False)
class LimitScenario:
    """Runs a plan against a fleet and records the rates that limited servers announced."""

    plan: LimitPlan
    fleet: LimitFleet
    lookups: Lookups
    rng: random.Random
    announced_rates: list[AnnouncedRate] = attrs.Factory(list)

    @property
    def limited(self) -> list[NodeHost]:
        return self.fleet.hosts[: self.plan.limited]

    async def run(self) -> None:
        """Apply all changes and events while lookups are sent."""
        started_at = time.monotonic()
        traffic = asyncio.create_task(self.lookups.send_at_rate(self.plan.per_s))
        tasks = [
            self.change_limits(started_at),
            *(self.inject_fault(each, started_at) for each in self.plan.events),
        ]
        if self.plan.leaves_at_s is not None:
            tasks.append(self.leave(started_at + self.plan.leaves_at_s))
        await asyncio.gather(*tasks)
        await wait_until(started_at + self.plan.seconds)
        traffic.cancel()
        await self.lookups.wait_for_responses()

    async def change_limits(self, started_at: float) -> None:
        previous = None
        for change in self.plan.changes:
            await wait_until(started_at + change.at_s)
            self.announced_rates.append(AnnouncedRate(time.monotonic(), change.per_s))
            if self.plan.flickers:
                await self.alternate_limits(previous, change.per_s)
            self.announce(change.per_s)
            previous = change.per_s

    async def alternate_limits(self, previous: float | None, after: float | None) -> None:
        """Announce the old or the new limit at random for a while."""
        ends_at = time.monotonic() + ALTERNATION_S
        while time.monotonic() < ends_at:
            self.announce(self.rng.choice((previous, after)))
            await asyncio.sleep(ALTERNATION_STEP_S)

    def announce(self, per_s: float | None) -> None:
        for each in self.limited:
            each.server.rate = None if per_s is None else str(per_s)

    async def leave(self, at: float) -> None:
        await wait_until(at)
        self.fleet.hosts[-1].server.leaves = True

    async def inject_fault(self, event: NodeEvent, started_at: float) -> None:
        await wait_until(started_at + event.at_s)
        if event.kind == "store":
            self.fleet.store.mode = "reset"
            await asyncio.sleep(event.for_s)
            self.fleet.store.mode = "up"
            return
        host = self.fleet.hosts[event.node]
        assert host.process is not None
        self.lookups.down.add(event.node)
        if event.kind == "freeze":
            host.process.freeze()
            await asyncio.sleep(event.for_s)
            self.lookups.start_new_run(event.node)
            host.process.thaw()
        else:
            await host.process.kill()
            self.lookups.start_new_run(event.node)
            await asyncio.sleep(event.for_s)
            await self.fleet.start(host)
            await self.fleet.wait_ready(host)
        self.lookups.down.discard(event.node)

    def tally(self) -> LimitTally:
        """Return the result."""
        windows = [self.fullest_window_of(each) for each in self.limited]
        binding = [window for window in windows if window is not None]
        left = self.fleet.hosts[-1].server
        late = self.lookups.late_at(
            left, self.lookups.first_notified_at(left, LEAVING_HEADER), DRAIN_S
        )
        statuses = Counter(each.response.status for each in self.lookups.completed)
        return LimitTally(
            worst=max(binding, key=lambda each: each.excess, default=None),
            late=len(late),
            used=self.used(),
            asked=len(self.lookups.sent),
            lost=self.lookups.lost,
            statuses=statuses,
        )

    def fullest_window_of(self, host: NodeHost) -> FullestWindow | None:
        """Return the fullest window of a limited server."""
        requests = self.lookups.requests_at(host.server)
        return fullest_window(
            self.announced_rates,
            requests,
            self.lookups.first_notified_at(host.server, LIMIT_HEADER),
        )

    def used(self) -> float:
        """Return the share of the first limit that was used while it was in force."""
        first = self.announced_rates[0]
        assert first.per_s is not None
        ended = max(started_at for _, started_at in self.lookups.sent.values())
        ends_at = self.announced_rates[1].at if len(self.announced_rates) > 1 else ended
        run_counts = [
            sum(first.at + 1.0 <= each.at < ends_at for each in host.server.received)
            for host in self.limited
        ]
        return sum(run_counts) / (len(run_counts) * first.per_s * (ends_at - first.at - 1.0))


async def wait_until(at: float) -> None:
    """Wait until a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))


async def run_limit_test(plan: LimitPlan, folder: Path) -> LimitTally:
    """Run one plan; ``folder`` keeps the logs of the processes."""
    async with LimitFleet(folder, plan.nodes, plan.service_ms) as fleet:
        lookups = Lookups(plan.nodes, fleet.send)
        scenario = LimitScenario(plan, fleet, lookups, random.Random(plan.seed))
        for each in fleet.hosts:
            each.server.health_states = plan.health_states
        await scenario.run()
        return scenario.tally()
