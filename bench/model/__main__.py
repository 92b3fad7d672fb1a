"""Command line of the simulation: simulates deployments, compares settings and checkouts."""

import sys
import tempfile
from pathlib import Path
from typing import Any

import fire

from bench.model._ablation import ablate
from bench.model._comparison import (
    FIGURES,
    difference,
    largest_losses,
    oracle_gap_closed,
    pair_runs,
)
from bench.model._deployment_file import load_deployment
from bench.model._experiment import (
    FIXED_SET_SIZE,
    ORACLE,
    Run,
    draw_deployments,
    make_jobs,
    read_runs,
    run_jobs,
    simulate_checkout,
    write_runs,
)
from bench.model._mechanisms import MECHANISMS
from marjoramtide.errors import MarjoramtideError

BASELINES = ("round-robin", "two-choices", "least-outstanding")
PROCESSES = 4
MAX_LOSSES_SHOWN = 5


class Experiments:
    """Simulates randomly drawn deployments and compares the results of their callers."""

    def play(
        self,
        out: str,
        first: int = 1,
        count: int = FIXED_SET_SIZE,
        seeds: int = 1,
        policy: str = "",
        processes: int = PROCESSES,
        deployment: str = "",
        **changes: Any,
    ) -> None:
        """Simulate deployments and write the figures to OUT.

        POLICY is a selector or ``oracle``. DEPLOYMENT is a file to simulate instead of the drawn
        deployments. Further flags are settings, such as ``--max_asks 2``.
        """
        named = {"selector": policy} if policy and policy != ORACLE else {}
        settings = None if policy == ORACLE else changes | named
        deployments = (
            [load_deployment(Path(deployment))] if deployment else draw_deployments(first, count)
        )
        jobs = make_jobs(deployments, seeds, settings)
        write_runs(Path(out), list(run_jobs(jobs, processes)))

    def compare(self, before: str, after: str) -> None:
        """Print the paired differences between two files written by ``play``."""
        print_comparison(read_runs(Path(before)), read_runs(Path(after)))

    def checkout(
        self, other: str, first: int = 1, count: int = FIXED_SET_SIZE, seeds: int = 1
    ) -> None:
        """Compare the product in the checkout OTHER with the product in this one."""
        with tempfile.TemporaryDirectory() as folder:
            files = [str(Path(folder) / name) for name in ("before", "after")]
            places = ("--first", str(first), "--count", str(count), "--seeds", str(seeds))
            simulate_checkout(Path(other), ["play", "--out", files[0], *places])
            self.play(files[1], first, count, seeds)
            self.compare(*files)

    def bounds(
        self, first: int = 1, count: int = FIXED_SET_SIZE, seeds: int = 1, out: str = ""
    ) -> None:
        """Print how much of the gap between best baseline and oracle the default policy closes."""
        deployments = draw_deployments(first, count)
        policies: dict[str, Any] = {"": {}, ORACLE: None}
        policies |= {name: {"selector": name} for name in BASELINES}
        runs = {
            name: list(run_jobs(make_jobs(deployments, seeds, changes), PROCESSES))
            for name, changes in policies.items()
        }
        if out:
            for name, each in runs.items():
                write_runs(Path(out) / f"{name or 'own'}.json", each)
        print_bounds(runs)

    def ablate(
        self,
        first: int = 1,
        count: int = FIXED_SET_SIZE,
        seeds: int = 1,
        processes: int = PROCESSES,
        only: str = "",
        deployment: str = "",
    ) -> None:
        """Print the loss without each mechanism, as rows of a table.

        ONLY selects mechanisms by name, separated by commas. DEPLOYMENT is a file to simulate
        instead of the drawn deployments.
        """
        chosen = only.split(",") if only else [each.name for each in MECHANISMS]
        deployments = (
            [load_deployment(Path(deployment))] if deployment else draw_deployments(first, count)
        )
        jobs = make_jobs(deployments, seeds, {})
        baseline_runs = list(run_jobs(jobs, processes))
        for mechanism in MECHANISMS:
            if mechanism.name in chosen:
                print(ablate(mechanism, jobs, baseline_runs, processes), flush=True)

    def without(self, name: str, checkout: str) -> None:
        """Disable the mechanism NAME in the sources of CHECKOUT, a scratch copy of the project."""
        found = next((each for each in MECHANISMS if each.name == name), None)
        if found is None:
            names = ", ".join(each.name for each in MECHANISMS)
            raise ValueError(f"no mechanism {name!r}; allowed: {names}")
        print(found.disable_in_checkout(Path(checkout)))


def print_comparison(before: list[Run], after: list[Run]) -> None:
    pairs = pair_runs(before, after)
    print(f"{len(pairs)} pairs")
    for figure in FIGURES:
        print(difference(figure, pairs))
    for name, change in largest_losses(pairs, MAX_LOSSES_SHOWN):
        print(f"  {name}: {change:+.3f} in goal")


def print_bounds(runs: dict[str, list[Run]]) -> None:
    own, oracle = runs[""], runs[ORACLE]
    baselines = [runs[name] for name in BASELINES]
    for name, each in runs.items():
        shares = [run.figures.in_goal for run in each]
        worst = [run.figures.worst for run in each]
        mean, least = sum(shares) / len(shares), sum(worst) / len(worst)
        print(f"{name or 'own':18} in goal {mean:.4f}  worst seconds {least:.4f}")
    gaps = oracle_gap_closed(own, baselines, oracle)
    print(
        f"gap from best baseline to oracle, closed: {sum(gaps.values()) / len(gaps):.2f} on average"
    )
    smallest = sorted(gaps.items(), key=lambda each: each[1])[:MAX_LOSSES_SHOWN]
    print("smallest: " + ", ".join(f"{name} {share:.2f}" for name, share in smallest))


def main() -> int:
    try:
        fire.Fire(Experiments)
    except (MarjoramtideError, ValueError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
