"""One play of real nodes beside servers that name limits and leave."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

import attrs

from bench.limits._fleet import LimitFleet, LimitSeat
from bench.limits._limit_plan import LimitPlan, NodeEvent
from bench.limits._limit_tally import LimitTally
from bench.limits._limit_watch import AnnouncedRate, FullestWindow, fullest_window
from bench.limits._lookups import Lookups

LIMIT, LEAVING = "Server-Limit", "Server-Leaving"
DRAIN_S = 2.0
FLICKER_S = 1.0
FLICKER_STEP_S = 0.05


@attrs.define(slots=True, eq=False)
class LimitPlay:
    """Runs a plan against a fleet; ``named`` is what its limited servers have named."""

    plan: LimitPlan
    fleet: LimitFleet
    lookups: Lookups
    rng: random.Random
    named: list[AnnouncedRate] = attrs.Factory(list)

    @property
    def limited(self) -> list[LimitSeat]:
        return self.fleet.seats[: self.plan.limited]

    async def run(self) -> None:
        """Play all changes and events while lookups come."""
        began = time.monotonic()
        coming = asyncio.create_task(self.lookups.send_at_rate(self.plan.per_s))
        work = [self.change_limits(began), *(self.strike(each, began) for each in self.plan.events)]
        if self.plan.leaves_at_s is not None:
            work.append(self.leave(began + self.plan.leaves_at_s))
        await asyncio.gather(*work)
        await until(began + self.plan.seconds)
        coming.cancel()
        await self.lookups.wait_for_responses()

    async def change_limits(self, began: float) -> None:
        before = None
        for change in self.plan.changes:
            await until(began + change.at_s)
            self.named.append(AnnouncedRate(time.monotonic(), change.per_s))
            if self.plan.flickers:
                await self.flicker(before, change.per_s)
            self.name(change.per_s)
            before = change.per_s

    async def flicker(self, before: float | None, after: float | None) -> None:
        """Name the old limit or the new one, by chance, for a while."""
        ends = time.monotonic() + FLICKER_S
        while time.monotonic() < ends:
            self.name(self.rng.choice((before, after)))
            await asyncio.sleep(FLICKER_STEP_S)

    def name(self, per_s: float | None) -> None:
        for each in self.limited:
            each.server.rate = None if per_s is None else str(per_s)

    async def leave(self, at: float) -> None:
        await until(at)
        self.fleet.seats[-1].server.leaves = True

    async def strike(self, event: NodeEvent, began: float) -> None:
        await until(began + event.at_s)
        if event.kind == "store":
            self.fleet.store.mode = "reset"
            await asyncio.sleep(event.for_s)
            self.fleet.store.mode = "up"
            return
        seat = self.fleet.seats[event.node]
        assert seat.process is not None
        self.lookups.down.add(event.node)
        if event.kind == "freeze":
            seat.process.freeze()
            await asyncio.sleep(event.for_s)
            self.lookups.start_new_run(event.node)
            seat.process.thaw()
        else:
            await seat.process.kill()
            self.lookups.start_new_run(event.node)
            await asyncio.sleep(event.for_s)
            await self.fleet.start(seat)
            await self.fleet.wait_ready(seat)
        self.lookups.down.discard(event.node)

    def tally(self) -> LimitTally:
        """Return what came of it."""
        windows = [self.fullest_at(each) for each in self.limited]
        binding = [window for window in windows if window is not None]
        left = self.fleet.seats[-1].server
        late = self.lookups.late_at(left, self.lookups.first_notified_at(left, LEAVING), DRAIN_S)
        statuses = Counter(each.response.status for each in self.lookups.completed)
        return LimitTally(
            worst=max(binding, key=lambda each: each.excess, default=None),
            late=len(late),
            used=self.used(),
            asked=len(self.lookups.sent),
            lost=self.lookups.lost,
            statuses=statuses,
        )

    def fullest_at(self, seat: LimitSeat) -> FullestWindow | None:
        """Return the fullest window of a limited server."""
        requests = self.lookups.requests_at(seat.server)
        return fullest_window(
            self.named, requests, self.lookups.first_notified_at(seat.server, LIMIT)
        )

    def used(self) -> float:
        """Return which share of what the first limit offered ran, while it was in force."""
        first = self.named[0]
        assert first.per_s is not None
        ended = max(began for _, began in self.lookups.sent.values())
        ends = self.named[1].at if len(self.named) > 1 else ended
        ran = [
            sum(first.at + 1.0 <= each.at < ends for each in seat.server.received)
            for seat in self.limited
        ]
        return sum(ran) / (len(ran) * first.per_s * (ends - first.at - 1.0))


async def until(at: float) -> None:
    """Wait until a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))


async def play_limits(plan: LimitPlan, folder: Path) -> LimitTally:
    """Play one plan; the processes' logs stay in ``folder``."""
    async with LimitFleet(folder, plan.nodes, plan.service_ms) as fleet:
        lookups = Lookups(plan.nodes, fleet.send)
        play = LimitPlay(plan, fleet, lookups, random.Random(plan.seed))
        for each in fleet.seats:
            each.server.health_states = plan.health_states
        await play.run()
        return play.tally()
