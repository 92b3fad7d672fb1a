"""What a play of callers with keys gave."""

import bisect
from collections import Counter

import attrs

from bench.workspaces._plan import Quota

WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20.0


@attrs.frozen(slots=True)
class KeyedCall:
    """A request of a workspace: when it was sent, and the status that came."""

    attempt: str
    workspace: str
    sent: float
    status: int


@attrs.frozen(slots=True)
class WorkspaceTally:
    """Figures of one play.

    ``excess`` is how many more ran in a window than was allowed, ``large_served`` and
    ``small_served`` how much of what one bucket would have admitted of a workspace was served.
    """

    excess: float
    late_runs: int
    misnamed: int
    shown_keys: int
    denied: int
    large_served: float
    small_served: float
    statuses: Counter[int]

    @property
    def is_within(self) -> bool:
        broken = self.late_runs + self.misnamed + self.shown_keys + self.denied
        return self.excess <= 0 and not broken

    def line(self) -> str:
        told = " ".join(f"{status}:{count}" for status, count in sorted(self.statuses.items()))
        return (
            f"{'ok    ' if self.is_within else 'BROKEN'} excess {self.excess:6.1f} "
            f"late runs {self.late_runs} misnamed {self.misnamed} keys shown {self.shown_keys} "
            f"denied {self.denied} large {self.large_served:.2f} "
            f"small {self.small_served:.2f}  {told}"
        )


def worst_excess(runs: list[tuple[float, float]], quota: Quota, begins: float) -> float:
    """Return by how many requests some window held more than allowed, of ``(sent, ran)``."""
    allowed = (quota.per_s * WINDOW_S + quota.burst) * (1 + EXCESS) + SLACK
    within = sorted(sent for sent, ran in runs if sent >= begins and ran - sent < WINDOW_S)
    most = max(
        (bisect.bisect_right(within, at + WINDOW_S) - place for place, at in enumerate(within)),
        default=0,
    )
    return most - allowed
