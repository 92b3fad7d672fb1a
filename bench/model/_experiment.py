"""Simulations of many deployments and seeds, in parallel processes."""

import itertools
import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import attrs
import cattrs

from bench.model._deployment import Deployment
from bench.model._draw import draw_deployment
from bench.model._play import simulate_deployment
from bench.model._structuring import validation_messages
from bench.model._tally import SimulationResult

ROOT = Path(__file__).resolve().parents[2]
# Deployments 1 to 60 are the fixed set for comparisons over time; others are fresh ones.
FIXED_SET_SIZE = 60
ORACLE = "oracle"


@attrs.frozen(slots=True)
class Run:
    """The figures of one deployment simulated with one seed."""

    deployment: str
    seed: int
    figures: SimulationResult


@attrs.frozen(slots=True)
class Job:
    """A simulation to run; ``changes`` of ``None`` stand for the oracle."""

    deployment: Deployment
    seed: int
    changes: Mapping[str, Any] | None

    def run(self) -> Run:
        """Run the simulation."""
        return Run(
            self.deployment.name,
            self.seed,
            simulate_deployment(self.deployment, self.seed, self.changes),
        )


def run_job(job: Job) -> Run:
    return job.run()


def run_jobs(
    jobs: Sequence[Job], processes: int, begin: Callable[[], None] | None = None
) -> Iterator[Run]:
    """Yield the results in the order of the jobs; progress goes to standard error.

    Each worker process calls ``begin`` before its first job.
    """
    with ProcessPoolExecutor(processes, initializer=begin) as pool:
        for number, run in enumerate(pool.map(run_job, jobs), 1):
            print(f"\r{number} of {len(jobs)} simulated", end="", file=sys.stderr, flush=True)
            yield run
    print(file=sys.stderr)


def make_jobs(
    deployments: Sequence[Deployment], seeds: int, changes: Mapping[str, Any] | None
) -> list[Job]:
    """Return a job for each deployment and seed."""
    pairs = itertools.product(deployments, range(1, seeds + 1))
    return [Job(deployment, seed, changes) for deployment, seed in pairs]


def draw_deployments(first: int, count: int) -> list[Deployment]:
    """Return ``count`` deployments from number ``first`` on."""
    return [draw_deployment(number) for number in range(first, first + count)]


def write_runs(path: Path, runs: Sequence[Run]) -> None:
    """Write results as JSON for ``read_runs``."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps([attrs.asdict(run) for run in runs], indent=1))


def read_runs(path: Path) -> list[Run]:
    """Read results; raises ``ValueError`` with the file and its errors."""
    try:
        return cattrs.structure(json.loads(path.read_text()), list[Run])
    except (json.JSONDecodeError, cattrs.BaseValidationError) as error:
        raise ValueError(f"{path}: {validation_messages(error)}") from error


def simulate_checkout(checkout: Path, arguments: Sequence[str]) -> None:
    """Simulate with the product of another checkout; raises ``CalledProcessError``."""
    environment = os.environ | {"PYTHONPATH": f"{checkout / 'src'}{os.pathsep}{ROOT}"}
    command = [sys.executable, "-m", "bench.model", *arguments]
    subprocess.run(command, cwd=ROOT, env=environment, check=True)
