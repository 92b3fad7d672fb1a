"""How much of a server's work goes before a request that waits."""

import attrs

from marjoramtide.policy.admission._queue_priority import QueuePriority

# The weight of one start: the shares are those of some twenty starts, whatever time these take.
WEIGHT = 0.05


@attrs.define(slots=True, eq=False, repr=False)
class PriorityShares:
    """The work that was started of late, by what goes first, and how busy that kept the slots.

    ``interval_s`` and ``mean_ms`` are smoothed over starts, so that the same holds for a server
    whose work takes milliseconds and for one whose work takes seconds.
    """

    work_ms: dict[QueuePriority, float] = attrs.Factory(dict)
    interval_s: float = 0.0
    mean_ms: float = 0.0
    last_start: float | None = None

    def started(self, standing: QueuePriority, work_ms: float, now: float) -> None:
        """Note that a request began which needs so much work."""
        for place in self.work_ms:
            self.work_ms[place] *= 1 - WEIGHT
        self.work_ms[standing] = self.work_ms.get(standing, 0.0) + WEIGHT * work_ms
        if self.last_start is not None:
            self.interval_s += WEIGHT * (now - self.last_start - self.interval_s)
        self.mean_ms += WEIGHT * (work_ms - self.mean_ms) if self.mean_ms else work_ms
        self.last_start = now

    def share_ahead(self, standing: QueuePriority, slots: int) -> float:
        """Return the share (0 to 1) of the slots that is taken by what goes before a request.

        Failure: more comes than can be done, and a request whose goal has passed waits for a late
        answer behind all that can still meet theirs. As long as these come it never starts, and its
        caller is told at its deadline. By how much they have taken of late it is refused at once.
        Where slots were left over, such a request is served in time after all.
        """
        total = sum(self.work_ms.values())
        if not total:
            return 0.0
        first = sum(work for place, work in self.work_ms.items() if place < standing)
        is_last = standing.late or standing.over_share
        return first / total * (self._busy(slots) if is_last else 1.0)

    def _busy(self, slots: int) -> float:
        """Return which share of the slots the work of late has kept busy."""
        if self.interval_s <= 0:
            return 1.0
        return min(1.0, self.mean_ms / 1000 / (self.interval_s * max(1, slots)))
