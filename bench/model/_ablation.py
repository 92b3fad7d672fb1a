"""What each mechanism is worth: plays without it, paired with plays of the whole product."""

from collections.abc import Sequence

import attrs

from bench.model._comparison import Difference, difference, paired
from bench.model._experiment import Job, Run, run_jobs
from bench.model._mechanism import Mechanism

COLUMNS = ("in_goal", "worst", "failed")


@attrs.frozen(slots=True)
class Ablation:
    """What the plays without a mechanism differ by."""

    mechanism: str
    differences: tuple[Difference, ...]

    def __str__(self) -> str:
        """Return a row of the table of the pages; what differs stands in bold."""
        cells = [cell(each) for each in self.differences]
        return f"| {self.mechanism} | {' | '.join(cells)} |"


def cell(found: Difference) -> str:
    text = f"{found.mean:+.4f} [{found.low:+.4f}, {found.high:+.4f}]"
    return text if found.low <= 0 <= found.high else f"**{text}**"


def ablate(
    mechanism: Mechanism, jobs: Sequence[Job], whole: Sequence[Run], processes: int
) -> Ablation:
    """Play without a mechanism; each process leaves it out as it begins."""
    pairs = paired(whole, list(run_jobs(jobs, processes, mechanism.leave_out)))
    return Ablation(mechanism.name, tuple(difference(name, pairs) for name in COLUMNS))
