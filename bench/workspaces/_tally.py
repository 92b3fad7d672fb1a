"""The result of a test with callers that send keys."""

import bisect
from collections import Counter

import attrs

from bench.workspaces._plan import Quota

WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20.0


@attrs.frozen(slots=True)
class KeyedCall:
    """A request of a workspace: when it was sent, and the status of its response."""

    attempt: str
    workspace: str
    sent: float
    status: int


@attrs.frozen(slots=True)
class WorkspaceTally:
    """The figures of one test.

    ``excess`` is the excess of the fullest window over the allowed requests. ``large_served`` and
    ``small_served`` are the served shares of the requests that a single bucket would have admitted.
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
        statuses = " ".join(f"{status}:{count}" for status, count in sorted(self.statuses.items()))
        return (
            f"{'ok    ' if self.is_within else 'BROKEN'} excess {self.excess:6.1f} "
            f"late runs {self.late_runs} misnamed {self.misnamed} keys shown {self.shown_keys} "
            f"denied {self.denied} large {self.large_served:.2f} "
            f"small {self.small_served:.2f}  {statuses}"
        )


def worst_excess(runs: list[tuple[float, float]], quota: Quota, starts_at: float) -> float:
    """Return the excess of the fullest window; ``runs`` holds pairs ``(sent, ran)`` of times."""
    allowed = (quota.per_s * WINDOW_S + quota.burst) * (1 + EXCESS) + SLACK
    within = sorted(
        sent for sent, received_at in runs if sent >= starts_at and received_at - sent < WINDOW_S
    )
    fullest = max(
        (bisect.bisect_right(within, at + WINDOW_S) - index for index, at in enumerate(within)),
        default=0,
    )
    return fullest - allowed
