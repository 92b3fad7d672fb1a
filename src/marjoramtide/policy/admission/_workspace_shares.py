"""Which workspaces have used up their fair share of an overloaded server."""

import math

import attrs

# The time constant over which work is counted, in seconds: some tens of requests of a busy server,
# and short enough that a workspace over its share is served again soon after it sends less.
DECAY_S = 4.0
# Workspaces that are tracked at once; beyond that, the one with the least demand is dropped.
MAX_WORKSPACES = 512


@attrs.define(slots=True)
class WorkspaceWork:
    """The decaying milliseconds of work of one workspace: requested and started."""

    requested: float = 0.0
    started: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.updated_at) / DECAY_S)
        self.requested *= factor
        self.started *= factor
        self.updated_at = now


@attrs.define(slots=True, eq=False, repr=False)
class WorkspaceShares:
    """Max-min fairness by work: each workspace gets its demand up to a common level.

    The level is where the sum of these equals the work that the server does. Failure: one workspace
    sends six times its usual load. Served in order of arrival, its requests fill the queue, and
    callers of all others are rejected as often as its own. With the level, workspaces that demand
    less are served before any that has had as much.
    """

    work: dict[str, WorkspaceWork] = attrs.Factory(dict)

    def record_request(self, workspace: str, work_ms: float, now: float) -> None:
        """Record that a workspace has requested so much work."""
        self._of(workspace, now).requested += work_ms

    def record_start(self, workspace: str, work_ms: float, now: float) -> None:
        """Record that so much of its work has started."""
        self._of(workspace, now).started += work_ms

    def is_over(self, workspace: str, work_ms: float, now: float) -> bool:
        """Tell whether a workspace has used up its share, given the demand of the others.

        A workspace that recently had no more than two requests' worth of work is never over.
        """
        own = self.work.get(workspace)
        if own is None or len(self.work) < 2:
            return False
        return own.started > max(self._level(now), 2 * work_ms)

    def over(self, now: float) -> frozenset[str]:
        """Return the workspaces that have used up their share."""
        level = self._level(now)
        return frozenset(name for name, each in self.work.items() if each.started > level)

    def _level(self, now: float) -> float:
        """Return the level up to which each workspace gets all of its demand."""
        for each in self.work.values():
            each.decay(now)
        left = sum(each.started for each in self.work.values())
        requested = sorted(each.requested for each in self.work.values())
        for place, amount in enumerate(requested):
            share = left / (len(requested) - place)
            if amount > share:
                return share
            left -= amount
        return math.inf

    def _of(self, workspace: str, now: float) -> WorkspaceWork:
        found = self.work.get(workspace)
        if found is None:
            if len(self.work) >= MAX_WORKSPACES:
                self._drop_least(now)
            found = self.work[workspace] = WorkspaceWork(updated_at=now)
        found.decay(now)
        return found

    def _drop_least(self, now: float) -> None:
        for each in self.work.values():
            each.decay(now)
        del self.work[min(self.work, key=lambda name: self.work[name].requested)]
