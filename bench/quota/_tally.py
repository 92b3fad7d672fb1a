"""What a play of quotas gave."""

import bisect

import attrs

from marjoramtide.settings import WorkspaceSettings

WINDOW_S = 5.0


@attrs.frozen(slots=True)
class QuotaFigures:
    """The most beyond a limit in any five seconds, and how much of what was owed was admitted.

    ``excess`` is the greatest number of requests beyond the limit of five seconds, ``limit`` that
    limit. ``served`` is what was admitted as a share of what was asked for within the limit,
    ``small_served`` the same of workspaces that ask for less than two requests a second.
    """

    excess: float
    limit: float
    served: float
    small_served: float
    datagrams_per_s: float
    bytes_per_s: float
    crossed_bytes_per_s: float


@attrs.define(slots=True, eq=False)
class QuotaTally:
    """When requests of each workspace came, and when some of them were admitted."""

    came: dict[str, list[float]] = attrs.Factory(dict)
    admitted: dict[str, list[float]] = attrs.Factory(dict)

    def note(self, workspace: str, at: float, admitted: bool) -> None:
        self.came.setdefault(workspace, []).append(at)
        if admitted:
            self.admitted.setdefault(workspace, []).append(at)

    def limit(self, workspace: WorkspaceSettings) -> float:
        """Return how many requests may be admitted in a window."""
        return workspace.requests_per_s * WINDOW_S + workspace.request_burst

    def worst_excess(self, workspace: WorkspaceSettings) -> float:
        """Return by how many requests some window held more than the limit."""
        times = sorted(self.admitted.get(workspace.name, []))
        most = max(
            (bisect.bisect_right(times, at + WINDOW_S) - n for n, at in enumerate(times)),
            default=0,
        )
        return most - self.limit(workspace)

    def forget_before(self, at: float) -> None:
        for times in (self.came, self.admitted):
            for name, found in times.items():
                times[name] = [each for each in found if each >= at]

    def owed(self, workspace: WorkspaceSettings, began: float) -> int:
        """Return how many of the requests that came a single bucket would have admitted."""
        came = self.came.get(workspace.name, [])
        return admitted_by_one(came, workspace.requests_per_s, workspace.request_burst, began)


def admitted_by_one(came: list[float], per_s: float, burst: float, began: float) -> int:
    """Return how many requests a single bucket admits that was full at a time."""
    size = max(1.0, burst)
    level, last, admitted = size, began, 0
    for at in sorted(came):
        level = min(size, level + (at - last) * per_s)
        last = at
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted
