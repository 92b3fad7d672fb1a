"""Time in which the machine did not schedule a scenario's process although it was runnable."""

import asyncio
import time

import attrs

TICK_S = 0.005


@attrs.frozen(slots=True)
class LateWakeup:
    """A late wake-up of the event loop; its times are readings of the monotonic clock."""

    started_at: float
    ended_at: float
    unscheduled_s: float


@attrs.define(slots=True, eq=False)
class UnscheduledTime:
    """Measures for how long the machine ran other processes in place of a scenario's.

    The computing time of the nodes does not count: of a late wake-up, only the part is recorded in
    which this thread used no processor time.
    """

    late_wakeups: list[LateWakeup] = attrs.Factory(list)

    async def watch(self) -> None:
        """Record late wake-ups until cancelled."""
        while True:
            started_at, used_s = time.monotonic(), time.thread_time()
            await asyncio.sleep(TICK_S)
            ended_at = time.monotonic()
            ran_s = time.thread_time() - used_s
            unscheduled_s = ended_at - started_at - TICK_S - ran_s
            if unscheduled_s > 0:
                self.late_wakeups.append(LateWakeup(started_at, ended_at, unscheduled_s))

    def between(self, started_at: float, ended_at: float) -> float:
        """Return for how many seconds between two times the process was not scheduled."""
        return sum(
            min(late.unscheduled_s, min(late.ended_at, ended_at) - max(late.started_at, started_at))
            for late in self.late_wakeups
            if late.ended_at > started_at and late.started_at < ended_at
        )
