"""The figures of a quota simulation."""

import bisect

import attrs

from marjoramtide.settings import WorkspaceSettings

WINDOW_S = 5.0


@attrs.frozen(slots=True)
class QuotaFigures:
    """The largest excess over a limit in any five seconds, and the admitted shares.

    ``excess`` is the largest number of requests beyond the limit of five seconds, and ``limit``
    that limit. ``served`` is the admitted share of the requests that a single bucket would admit,
    ``small_served`` the same for workspaces limited to less than two requests a second.
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
    """Times of all requests and of the admitted requests of each workspace."""

    arrivals: dict[str, list[float]] = attrs.Factory(dict)
    admitted: dict[str, list[float]] = attrs.Factory(dict)

    def record(self, workspace: str, at: float, admitted: bool) -> None:
        self.arrivals.setdefault(workspace, []).append(at)
        if admitted:
            self.admitted.setdefault(workspace, []).append(at)

    def limit(self, workspace: WorkspaceSettings) -> float:
        """Return the number of requests that may be admitted in a window."""
        return workspace.requests_per_s * WINDOW_S + workspace.request_burst

    def worst_excess(self, workspace: WorkspaceSettings) -> float:
        """Return the excess of the fullest window over the limit."""
        times = sorted(self.admitted.get(workspace.name, []))
        fullest = max(
            (bisect.bisect_right(times, at + WINDOW_S) - n for n, at in enumerate(times)),
            default=0,
        )
        return fullest - self.limit(workspace)

    def drop_before(self, at: float) -> None:
        for times in (self.arrivals, self.admitted):
            for name, found in times.items():
                times[name] = [each for each in found if each >= at]

    def admissible(self, workspace: WorkspaceSettings, started_at: float) -> int:
        """Return how many of the requests a single token bucket would have admitted."""
        arrivals = self.arrivals.get(workspace.name, [])
        return admitted_by_single_bucket(
            arrivals, workspace.requests_per_s, workspace.request_burst, started_at
        )


def admitted_by_single_bucket(
    arrivals: list[float], per_s: float, burst: float, started_at: float
) -> int:
    """Return how many requests are admitted by a token bucket that is full at ``started_at``."""
    capacity = max(1.0, burst)
    level, last, admitted = capacity, started_at, 0
    for at in sorted(arrivals):
        level = min(capacity, level + (at - last) * per_s)
        last = at
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted
