"""The experiment tool: plays deployments, and compares settings and checkouts."""

import sys
import tempfile
from pathlib import Path
from typing import Any

import fire

from bench.model._ablation import ablate
from bench.model._comparison import FIGURES, difference, losses, paired, way_to_oracle
from bench.model._deployment_file import load_deployment
from bench.model._experiment import (
    FIXED,
    ORACLE,
    Run,
    drawn,
    make_jobs,
    play_checkout,
    read_runs,
    run_jobs,
    write_runs,
)
from bench.model._mechanisms import MECHANISMS
from marjoramtide.errors import MarjoramtideError

BASELINES = ("round-robin", "two-choices", "least-outstanding")
PROCESSES = 4
LOSSES_SHOWN = 5


class Experiments:
    """Plays drawn deployments in virtual time and compares what callers get."""

    def play(
        self,
        out: str,
        first: int = 1,
        count: int = FIXED,
        seeds: int = 1,
        policy: str = "",
        processes: int = PROCESSES,
        deployment: str = "",
        **changes: Any,
    ) -> None:
        """Play deployments and write the figures to OUT.

        POLICY is a selector, or ``oracle``; DEPLOYMENT a file to play in place of drawn ones;
        further flags are settings, as ``--max_asks 2``.
        """
        named = {"selector": policy} if policy and policy != ORACLE else {}
        settings = None if policy == ORACLE else changes | named
        played = [load_deployment(Path(deployment))] if deployment else drawn(first, count)
        jobs = make_jobs(played, seeds, settings)
        write_runs(Path(out), list(run_jobs(jobs, processes)))

    def compare(self, before: str, after: str) -> None:
        """Print the paired differences between two files of results."""
        print_comparison(read_runs(Path(before)), read_runs(Path(after)))

    def checkout(self, other: str, first: int = 1, count: int = FIXED, seeds: int = 1) -> None:
        """Compare the product in OTHER, a checkout, with the one here."""
        with tempfile.TemporaryDirectory() as folder:
            files = [str(Path(folder) / name) for name in ("before", "after")]
            places = ("--first", str(first), "--count", str(count), "--seeds", str(seeds))
            play_checkout(Path(other), ["play", "--out", files[0], *places])
            self.play(files[1], first, count, seeds)
            self.compare(*files)

    def bounds(self, first: int = 1, count: int = FIXED, seeds: int = 1, out: str = "") -> None:
        """Print how far the policy in force comes from the best baseline towards the oracle."""
        deployments = drawn(first, count)
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
        count: int = FIXED,
        seeds: int = 1,
        processes: int = PROCESSES,
        only: str = "",
        deployment: str = "",
    ) -> None:
        """Print what is lost without each mechanism, as rows of a table.

        ONLY names some of them, with commas between; DEPLOYMENT is a file to play in place of drawn
        ones.
        """
        chosen = only.split(",") if only else [each.name for each in MECHANISMS]
        played = [load_deployment(Path(deployment))] if deployment else drawn(first, count)
        jobs = make_jobs(played, seeds, {})
        whole = list(run_jobs(jobs, processes))
        for mechanism in MECHANISMS:
            if mechanism.name in chosen:
                print(ablate(mechanism, jobs, whole, processes), flush=True)

    def without(self, name: str, checkout: str) -> None:
        """Leave the mechanism NAME out of CHECKOUT, a scratch copy of the project."""
        found = next((each for each in MECHANISMS if each.name == name), None)
        if found is None:
            names = ", ".join(each.name for each in MECHANISMS)
            raise ValueError(f"no mechanism {name!r}; allowed: {names}")
        print(found.leave_out_of(Path(checkout)))


def print_comparison(before: list[Run], after: list[Run]) -> None:
    pairs = paired(before, after)
    print(f"{len(pairs)} pairs")
    for figure in FIGURES:
        print(difference(figure, pairs))
    for name, change in losses(pairs, LOSSES_SHOWN):
        print(f"  {name}: {change:+.3f} in goal")


def print_bounds(runs: dict[str, list[Run]]) -> None:
    own, oracle = runs[""], runs[ORACLE]
    baselines = [runs[name] for name in BASELINES]
    for name, each in runs.items():
        shares = [run.figures.in_goal for run in each]
        worst = [run.figures.worst for run in each]
        mean, least = sum(shares) / len(shares), sum(worst) / len(worst)
        print(f"{name or 'own':18} in goal {mean:.4f}  worst seconds {least:.4f}")
    way = way_to_oracle(own, baselines, oracle)
    print(
        f"way from the best baseline to the oracle: {sum(way.values()) / len(way):.2f} on the mean"
    )
    behind = sorted(way.items(), key=lambda each: each[1])[:LOSSES_SHOWN]
    print("least: " + ", ".join(f"{name} {share:.2f}" for name, share in behind))


def main() -> int:
    try:
        fire.Fire(Experiments)
    except (MarjoramtideError, ValueError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
