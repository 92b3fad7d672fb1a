"""Two sets of plays, paired by deployment and seed."""

from collections.abc import Sequence

import attrs
import numpy as np

from bench.model._experiment import Run

# The interval holds the true mean in so many of a hundred experiments.
COVERAGE = 95
RESAMPLES = 4000
FIGURES = ("in_goal", "worst", "served", "refused", "failed")


@attrs.frozen(slots=True)
class Difference:
    """The mean of the paired differences of one figure, and its interval."""

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


def paired(before: Sequence[Run], after: Sequence[Run]) -> list[tuple[Run, Run]]:
    """Return the plays of the same deployment and seed in both."""
    others = {(run.deployment, run.seed): run for run in after}
    keys = ((run, others.get((run.deployment, run.seed))) for run in before)
    return [(run, other) for run, other in keys if other is not None]


def difference(figure: str, pairs: Sequence[tuple[Run, Run]]) -> Difference:
    """Return the paired difference; seeds of one deployment count as one, drawn together.

    The interval is a bootstrap over deployments: plays of one deployment are alike, and counted
    each for itself they would make the interval too narrow.
    """
    groups: dict[str, list[float]] = {}
    for run, other in pairs:
        change = getattr(other.figures, figure) - getattr(run.figures, figure)
        groups.setdefault(run.deployment, []).append(change)
    means = np.array([np.mean(changes) for changes in groups.values()])
    drawn = np.random.default_rng(1).choice(means, (RESAMPLES, len(means)))
    edge = (100 - COVERAGE) / 2
    low, high = np.percentile(drawn.mean(axis=1), [edge, 100 - edge])
    return Difference(
        figure,
        float(np.mean([getattr(run.figures, figure) for run, _ in pairs])),
        float(np.mean([getattr(other.figures, figure) for _, other in pairs])),
        float(means.mean()),
        float(low),
        float(high),
    )


def losses(pairs: Sequence[tuple[Run, Run]], most: int) -> list[tuple[str, float]]:
    """Return the deployments whose share in goal fell most, with the change."""
    groups: dict[str, list[float]] = {}
    for run, other in pairs:
        change = other.figures.in_goal - run.figures.in_goal
        groups.setdefault(run.deployment, []).append(change)
    changes = [(name, float(np.mean(each))) for name, each in groups.items()]
    return sorted(changes, key=lambda each: each[1])[:most]


def way_to_oracle(
    runs: Sequence[Run], baselines: Sequence[Sequence[Run]], oracle: Sequence[Run]
) -> dict[str, float]:
    """Return for each deployment the share of the way from its best baseline to the oracle."""
    best = {
        name: max(mean_in_goal(each)[name] for each in baselines) for name in mean_in_goal(oracle)
    }
    bound = mean_in_goal(oracle)
    own = mean_in_goal(runs)
    return {
        name: (own[name] - best[name]) / (bound[name] - best[name])
        for name in own
        if name in bound and bound[name] - best[name] > LEAST_WAY
    }


# Where the oracle is no better than this above the best baseline, there is no way to speak of.
LEAST_WAY = 0.01


def mean_in_goal(runs: Sequence[Run]) -> dict[str, float]:
    """Return the mean share in goal of each deployment."""
    groups: dict[str, list[float]] = {}
    for run in runs:
        groups.setdefault(run.deployment, []).append(run.figures.in_goal)
    return {name: float(np.mean(shares)) for name, shares in groups.items()}
