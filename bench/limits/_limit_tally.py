"""The result of a test with servers that announce rate limits."""

from collections import Counter

import attrs

from bench.limits._limit_watch import FullestWindow

OK = 200


@attrs.frozen(slots=True)
class LimitTally:
    """The fullest window of any limited server, and the callers' responses.

    ``late`` counts requests to a leaving server that started at a node more than two seconds after
    the node had passed on the announcement. ``used`` is the share of the allowed requests that the
    limited servers ran.
    """

    worst: FullestWindow | None
    late: int
    used: float
    asked: int
    lost: int
    statuses: Counter[int]

    @property
    def is_within(self) -> bool:
        return self.late == 0 and (self.worst is None or self.worst.is_within)

    def line(self) -> str:
        """Return the result as a line of text."""
        worst = "none binds"
        if self.worst is not None:
            worst = f"{self.worst.count:3} of {self.worst.allowed:5.1f}"
        answered = self.statuses[OK] / max(1, self.asked)
        others = {status: count for status, count in self.statuses.items() if status != OK}
        verdict = "ok    " if self.is_within else "BROKEN"
        return (
            f"{verdict} {worst:14} late {self.late:2}  used {self.used:.2f}  "
            f"answered {answered:.3f}  lost {self.lost:3}  {others}"
        )
