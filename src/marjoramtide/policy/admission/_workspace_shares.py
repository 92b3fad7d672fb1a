"""Which workspaces have had their share of a server that is short."""

import math

import attrs

# The span over which work is counted, in seconds: some tens of requests of a busy server, and short
# enough that a workspace which has had its share is served again soon after it asks for less.
SPAN_S = 4.0
# Workspaces that are counted at once; of more the least is forgotten.
MOST_COUNTED = 512


@attrs.define(slots=True)
class WorkspaceWork:
    """Milliseconds of work of one workspace, as they decay: asked for and begun."""

    asked: float = 0.0
    begun: float = 0.0
    updated: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.updated) / SPAN_S)
        self.asked *= factor
        self.begun *= factor
        self.updated = now


@attrs.define(slots=True, eq=False, repr=False)
class WorkspaceShares:
    """Max-min fairness by work: each gets what it asks for up to a level that uses up what is done.

    Failure: one workspace asks for six times its usual. Served as they come, its requests fill the
    queue, and callers of all others are refused as often as its own. By the level, those that ask
    for less than it are served before any that has had as much.
    """

    work: dict[str, WorkspaceWork] = attrs.Factory(dict)

    def asked(self, workspace: str, work_ms: float, now: float) -> None:
        """Note that a workspace has asked for so much work."""
        self._of(workspace, now).asked += work_ms

    def begun(self, workspace: str, work_ms: float, now: float) -> None:
        """Note that so much of its work has begun."""
        self._of(workspace, now).begun += work_ms

    def is_over(self, workspace: str, work_ms: float, now: float) -> bool:
        """Tell whether a workspace has had its share, as far as others ask for theirs.

        One that has had no more than a single request of late hasn't.
        """
        own = self.work.get(workspace)
        if own is None or len(self.work) < 2:
            return False
        return own.begun > max(self._level(now), 2 * work_ms)

    def over(self, now: float) -> frozenset[str]:
        """Return the workspaces that have had their share."""
        level = self._level(now)
        return frozenset(name for name, each in self.work.items() if each.begun > level)

    def _level(self, now: float) -> float:
        """Return up to what each workspace gets all that it asks for."""
        for each in self.work.values():
            each.decay(now)
        left = sum(each.begun for each in self.work.values())
        asked = sorted(each.asked for each in self.work.values())
        for place, amount in enumerate(asked):
            share = left / (len(asked) - place)
            if amount > share:
                return share
            left -= amount
        return math.inf

    def _of(self, workspace: str, now: float) -> WorkspaceWork:
        found = self.work.get(workspace)
        if found is None:
            if len(self.work) >= MOST_COUNTED:
                self._forget_least(now)
            found = self.work[workspace] = WorkspaceWork(updated=now)
        found.decay(now)
        return found

    def _forget_least(self, now: float) -> None:
        for each in self.work.values():
            each.decay(now)
        del self.work[min(self.work, key=lambda name: self.work[name].asked)]
