"""The share of a server's work that goes before a waiting request."""

import attrs

from marjoramtide.policy.admission._queue_priority import QueuePriority

# The weight of one start in the averages: they cover some twenty starts, whatever their duration.
WEIGHT = 0.05


@attrs.define(slots=True, eq=False, repr=False)
class PriorityShares:
    """The recently started work by priority, and how busy it kept the slots.

    ``interval_s`` and ``mean_ms`` are averaged over starts, so the same rule works for a server
    whose work takes milliseconds and for one whose work takes seconds.
    """

    work_ms: dict[QueuePriority, float] = attrs.Factory(dict)
    interval_s: float = 0.0
    mean_ms: float = 0.0
    last_start: float | None = None

    def record_start(self, priority: QueuePriority, work_ms: float, now: float) -> None:
        """Record the start of a request that needs so much work."""
        for each in self.work_ms:
            self.work_ms[each] *= 1 - WEIGHT
        self.work_ms[priority] = self.work_ms.get(priority, 0.0) + WEIGHT * work_ms
        if self.last_start is not None:
            self.interval_s += WEIGHT * (now - self.last_start - self.interval_s)
        self.mean_ms += WEIGHT * (work_ms - self.mean_ms) if self.mean_ms else work_ms
        self.last_start = now

    def share_ahead(self, priority: QueuePriority, slots: int) -> float:
        """Return the share (0 to 1) of the slots used by requests that go before a request.

        Failure: under overload, a request whose goal has passed waits for a late response behind
        all requests that can still meet theirs. As long as such requests arrive it never starts,
        and its caller gets an error only at its deadline. Given how much of the slots they have
        used recently, it is rejected immediately instead. If slots were left over, such a request
        is still served in time.
        """
        total = sum(self.work_ms.values())
        if not total:
            return 0.0
        ahead = sum(work for each, work in self.work_ms.items() if each < priority)
        is_last = priority.late or priority.over_share
        return ahead / total * (self._utilization(slots) if is_last else 1.0)

    def _utilization(self, slots: int) -> float:
        """Return the share of the slots that the recent work has kept busy."""
        if self.interval_s <= 0:
            return 1.0
        return min(1.0, self.mean_ms / 1000 / (self.interval_s * max(1, slots)))
