"""Ablation: simulations without a mechanism, paired with those of the complete product."""

from collections.abc import Sequence

import attrs

from bench.model._comparison import Difference, difference, pair_runs
from bench.model._experiment import Job, Run, run_jobs
from bench.model._mechanism import Mechanism

COLUMNS = ("in_goal", "worst", "failed")


@attrs.frozen(slots=True)
class Ablation:
    """The differences of the figures when a mechanism is disabled."""

    mechanism: str
    differences: tuple[Difference, ...]

    def __str__(self) -> str:
        """Return a Markdown table row; significant differences are bold."""
        cells = [format_cell(each) for each in self.differences]
        return f"| {self.mechanism} | {' | '.join(cells)} |"


def format_cell(paired: Difference) -> str:
    text = f"{paired.mean:+.4f} [{paired.low:+.4f}, {paired.high:+.4f}]"
    return text if paired.low <= 0 <= paired.high else f"**{text}**"


def ablate(
    mechanism: Mechanism, jobs: Sequence[Job], baseline_runs: Sequence[Run], processes: int
) -> Ablation:
    """Simulate without a mechanism; each worker process disables it on start."""
    pairs = pair_runs(baseline_runs, list(run_jobs(jobs, processes, mechanism.disable)))
    return Ablation(mechanism.name, tuple(difference(name, pairs) for name in COLUMNS))
