"""Plays one plan."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

import attrs

from soak._callers import Callers
from soak._fault import (
    CROWD_FAULTS,
    LINK_FAULTS,
    PROCESS_FAULTS,
    STORE_CHANGES,
    STORE_FAULTS,
    Fault,
)
from soak._fleet import PROJECT_ROOT, SoakFleet
from soak._judge import Violation, judge
from soak._judge_changes import ChangeJudge
from soak._plan import SoakPlan

START_S = 1.0
SERVER_RESTART_S = 0.2
# Servers record what runs for this long after the last answer.
AFTER_S = 4.0
BURST_FACTOR = 3
CALLERS_TIMEOUT_S = 6.0
INJECTED = PROCESS_FAULTS | LINK_FAULTS | STORE_FAULTS | STORE_CHANGES | CROWD_FAULTS
# By then the nodes have opened their watches.
WATCH_START_S = 4.0


@attrs.frozen(slots=True)
class SoakResult:
    """What came of a plan; ``started_at`` is the start of the load in Unix seconds.

    ``changes`` counts the moves and evacuations that the store acknowledged, and ``ended`` names
    the nodes that ended by themselves.
    """

    plan: SoakPlan
    violations: tuple[Violation, ...]
    statuses: Counter[int]
    events: Counter[str]
    started_at: float
    changes: int
    ended: tuple[str, ...] = ()

    @property
    def is_broken(self) -> bool:
        """Return whether a promise was broken, or a node ended by itself."""
        return bool(self.violations or self.ended)

    def line(self) -> str:
        """Return the result as one line."""
        counts = " ".join(f"{status}:{count}" for status, count in sorted(self.statuses.items()))
        kinds = Counter(each.promise for each in self.violations)
        broken = " ".join(f"{kind} {count}" for kind, count in kinds.items())
        broken = (
            " ".join(filter(None, (broken, *(f"ended {name}" for name in self.ended)))) or "held"
        )
        late = self.events["late second answer"]
        runs = self.events["run"]
        return f"{broken:24} {counts}  runs {runs} late {late} changes {self.changes}"


async def run_soak(plan: SoakPlan, folder: Path, source: Path = PROJECT_ROOT) -> SoakResult:
    """Play a plan; ``folder`` keeps the processes' logs."""
    async with SoakFleet(plan, folder, source) as fleet:
        await start_load_clock(fleet)
        callers = Callers(
            [host.settings["callers"] for host in fleet.hosts],
            random.Random(plan.seed),
            plan.seed,
            plan.judges_changes,
        )
        await play_load(plan, fleet, callers)
        await asyncio.sleep(AFTER_S)
        events = fleet.server_records()
        violations = judge(callers.records, events)
        if plan.judges_changes:
            change_judge = ChangeJudge(fleet.timeline, fleet.places())
            violations += change_judge.judge(callers.records, events)
        return SoakResult(
            plan,
            tuple(violations),
            Counter(each.answer.status for each in callers.records),
            Counter(each.event for each in events),
            fleet.epoch,
            len(fleet.timeline.moves) - 1 + len(fleet.timeline.evacuations),
            tuple(fleet.ended_nodes()),
        )


async def start_load_clock(fleet: SoakFleet) -> None:
    """Tell all servers when the load starts, by which their faults begin, and wait for it."""
    watch_start_s = WATCH_START_S if fleet.plan.judges_changes else 0.0
    fleet.epoch = time.time() + START_S + SERVER_RESTART_S * len(fleet.hosts) + watch_start_s
    await fleet.restart_servers()
    await asyncio.sleep(max(0.0, fleet.epoch - time.time()))


async def play_load(plan: SoakPlan, fleet: SoakFleet, callers: Callers) -> None:
    """Send the load while faults are injected, and wait for the answers and the last fault."""
    started_at = time.monotonic()
    injected = [
        asyncio.create_task(inject_at(fleet, each, started_at + each.at_s))
        for each in plan.faults
        if each.kind in INJECTED
    ]
    await send_load(plan, callers, started_at)
    if callers.tasks:
        await asyncio.wait(callers.tasks, timeout=CALLERS_TIMEOUT_S)
    await asyncio.gather(*injected)


async def inject_at(fleet: SoakFleet, fault: Fault, at: float) -> None:
    """Bring a fault about at a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))
    await fleet.inject(fault)


async def send_load(plan: SoakPlan, callers: Callers, started_at: float) -> None:
    """Send requests at an even rate, more during bursts."""
    bursts = [each for each in plan.faults if each.kind == "burst"]
    due = started_at
    while due < started_at + plan.seconds:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        callers.start_one()
        is_burst = any(each.is_in_force(due - started_at) for each in bursts)
        due += 1 / (plan.per_s * (BURST_FACTOR if is_burst else 1))
