"""Comparison of two sets of simulations, paired by deployment and seed."""

from collections.abc import Sequence

import attrs
import numpy as np

from bench.model._experiment import Run

# Confidence level of the intervals.
CONFIDENCE_PERCENT = 95
RESAMPLES = 4000
FIGURES = ("in_goal", "worst", "served", "refused", "failed")


@attrs.frozen(slots=True)
class Difference:
    """The mean paired difference of one figure, with its confidence interval."""

    figure: str
    before: float
    after: float
    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        verdict = "no difference" if self.low <= 0 <= self.high else "differs"
        return (
            f"{self.figure:8} {self.before:.4f} -> {self.after:.4f}  "
            f"{self.mean:+.4f} [{self.low:+.4f}, {self.high:+.4f}]  {verdict}"
        )


def pair_runs(before: Sequence[Run], after: Sequence[Run]) -> list[tuple[Run, Run]]:
    """Return the runs of the same deployment and seed in both sets."""
    others = {(run.deployment, run.seed): run for run in after}
    keys = ((run, others.get((run.deployment, run.seed))) for run in before)
    return [(run, other) for run, other in keys if other is not None]


def difference(figure: str, pairs: Sequence[tuple[Run, Run]]) -> Difference:
    """Return the paired difference of a figure.

    The interval is a bootstrap over deployments, with the mean of all seeds of a deployment as one
    sample. Runs of one deployment are correlated; as separate samples they would make the interval
    too narrow.
    """
    groups: dict[str, list[float]] = {}
    for run, other in pairs:
        change = getattr(other.figures, figure) - getattr(run.figures, figure)
        groups.setdefault(run.deployment, []).append(change)
    means = np.array([np.mean(changes) for changes in groups.values()])
    samples = np.random.default_rng(1).choice(means, (RESAMPLES, len(means)))
    tail = (100 - CONFIDENCE_PERCENT) / 2
    low, high = np.percentile(samples.mean(axis=1), [tail, 100 - tail])
    return Difference(
        figure,
        float(np.mean([getattr(run.figures, figure) for run, _ in pairs])),
        float(np.mean([getattr(other.figures, figure) for _, other in pairs])),
        float(means.mean()),
        float(low),
        float(high),
    )


def largest_losses(pairs: Sequence[tuple[Run, Run]], limit: int) -> list[tuple[str, float]]:
    """Return the deployments whose ``in_goal`` fell most, with the change."""
    groups: dict[str, list[float]] = {}
    for run, other in pairs:
        change = other.figures.in_goal - run.figures.in_goal
        groups.setdefault(run.deployment, []).append(change)
    changes = [(name, float(np.mean(each))) for name, each in groups.items()]
    return sorted(changes, key=lambda each: each[1])[:limit]


def oracle_gap_closed(
    runs: Sequence[Run], baselines: Sequence[Sequence[Run]], oracle: Sequence[Run]
) -> dict[str, float]:
    """Return for each deployment the closed share of the gap from best baseline to oracle."""
    best = {
        name: max(mean_in_goal(each)[name] for each in baselines) for name in mean_in_goal(oracle)
    }
    bound = mean_in_goal(oracle)
    own = mean_in_goal(runs)
    return {
        name: (own[name] - best[name]) / (bound[name] - best[name])
        for name in own
        if name in bound and bound[name] - best[name] > MIN_ORACLE_GAP
    }


# Deployments whose oracle is no better than this above the best baseline are left out.
MIN_ORACLE_GAP = 0.01


def mean_in_goal(runs: Sequence[Run]) -> dict[str, float]:
    """Return the mean ``in_goal`` of each deployment over its seeds."""
    groups: dict[str, list[float]] = {}
    for run in runs:
        groups.setdefault(run.deployment, []).append(run.figures.in_goal)
    return {name: float(np.mean(shares)) for name, shares in groups.items()}
