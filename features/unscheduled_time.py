"""Time for which the machine did not run the process of a scenario, though it was ready."""

import asyncio
import time

import attrs

TICK_S = 0.005


@attrs.frozen(slots=True)
class Gap:
    """A turn of the loop that came late; times are of its clock, in seconds."""

    began: float
    ended: float
    unscheduled_s: float


@attrs.define(slots=True, eq=False)
class UnscheduledTime:
    """Knows for how long the machine ran other processes in place of a scenario's.

    What nodes compute counts as theirs: of a turn that comes late only the part is taken in which
    this thread used no processor time.
    """

    gaps: list[Gap] = attrs.Factory(list)

    async def watch(self) -> None:
        """Take note of late turns until cancelled."""
        while True:
            began, used_s = time.monotonic(), time.thread_time()
            await asyncio.sleep(TICK_S)
            ended = time.monotonic()
            ran_s = time.thread_time() - used_s
            unscheduled_s = ended - began - TICK_S - ran_s
            if unscheduled_s > 0:
                self.gaps.append(Gap(began, ended, unscheduled_s))

    def within(self, began: float, ended: float) -> float:
        """Return for how many seconds between two times the process was not run."""
        return sum(
            min(gap.unscheduled_s, min(gap.ended, ended) - max(gap.began, began))
            for gap in self.gaps
            if gap.ended > began and gap.began < ended
        )
