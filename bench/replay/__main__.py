"""Replays traces under each policy, prints the results and checks the expected outcomes."""

import argparse
import asyncio
import itertools
import signal
import sys
import tomllib
from pathlib import Path
from typing import Any

from bench.replay._expectation import guarantees, load_expectations
from bench.replay._plot import plot_tails
from bench.replay._policies import DEFAULT_POLICIES, DIRECT
from bench.replay._progress import Progress
from bench.replay._run import run_trace
from bench.replay._run_result import RunResult
from bench.replay._table import table
from bench.replay._trace import TRACES, Trace, load_trace, trace_names
from bench.replay._verdict import Verdict
from marjoramtide.policy import SELECTORS

DEFAULT_SECONDS = 10.0
DEFAULT_JOBS = 2
EXIT_STATUS_SIGNAL = 130


def setting(text: str) -> dict[str, Any]:
    """Parse one ``key = value``; argparse reports a ``ValueError`` with the text."""
    return tomllib.loads(text)


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.replay", description=__doc__)
    parser.add_argument(
        "--trace", action="append", choices=trace_names(), help="all traces by default"
    )
    parser.add_argument(
        "--policy",
        action="append",
        choices=[*SELECTORS, DIRECT],
        help=f"{', '.join(DEFAULT_POLICIES)} by default; {DIRECT} bypasses the nodes",
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_SECONDS,
        help="length of each run; 0 for that of the trace",
    )
    parser.add_argument(
        "--jobs", type=int, default=DEFAULT_JOBS, help="policies that are replayed concurrently"
    )
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        type=setting,
        metavar="KEY=VALUE",
        help="a value of the settings' root branch, as in TOML, for every policy",
    )
    parser.add_argument("--logs", type=Path, help="keep the logs of all processes here")
    return parser.parse_args()


def check_outcomes(trace: Trace, runs: dict[str, RunResult]) -> list[Verdict]:
    """Return the verdicts on the guarantees and on the trace's expected outcomes."""
    guaranteed = itertools.chain.from_iterable(
        guarantees(policy) for policy in runs if policy != DIRECT
    )
    pace_verdicts = [check_pace(run) for run in runs.values()]
    return pace_verdicts + [
        each.check(runs) for each in [*guaranteed, *load_expectations(trace.name)]
    ]


def check_pace(run: RunResult) -> Verdict:
    """Return whether the load tool sent on time; if it did not, latencies are not valid."""
    lag_ms = run.tally().worst_send_lag_ms
    name = f"the load tool kept pace under {run.policy}"
    return Verdict(name, not run.is_load_tool_late(), f"at worst {lag_ms:.0f} ms late")


def report(trace: Trace, runs: dict[str, RunResult]) -> list[Verdict]:
    """Print the tables, plot and verdicts of one trace."""
    print(f"\n== {trace.name} ({trace.site_name}, {trace.seconds:g} s, seed {trace.seed})")
    print(f"{trace.description}\n")
    ordered = list(runs.values())
    print(table(ordered))
    plot_tails(ordered)
    verdicts = check_outcomes(trace, runs)
    print("\n".join(map(str, verdicts)))
    return verdicts


def policies_for(trace: Trace, options: argparse.Namespace) -> list[str]:
    """Return the policies for ``trace``, without repetitions."""
    return list(dict.fromkeys(options.policy or [*DEFAULT_POLICIES, *trace.policies]))


async def replay_until_signal(options: argparse.Namespace) -> list[Verdict]:
    """Replay until done or cancelled by SIGINT or SIGTERM, which ends all child processes."""
    task = asyncio.ensure_future(replay(options))
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


async def replay(options: argparse.Namespace) -> list[Verdict]:
    traces = [
        load_trace(TRACES / f"{name}.toml").scaled(options.seconds or None)
        for name in options.trace or trace_names()
    ]
    progress = Progress(total=sum(len(policies_for(trace, options)) for trace in traces))
    semaphore = asyncio.Semaphore(options.jobs)
    changes = dict(itertools.chain.from_iterable(each.items() for each in options.set))

    async def run(trace: Trace, policy: str) -> RunResult:
        async with semaphore:
            progress.begin(trace.name, policy)
            return await run_trace(trace, policy, changes=changes, logs=options.logs)

    verdicts: list[Verdict] = []
    for trace in traces:
        policies = policies_for(trace, options)
        results = await asyncio.gather(*(run(trace, policy) for policy in policies))
        verdicts += report(trace, dict(zip(policies, results, strict=True)))
    return verdicts


def main() -> int:
    try:
        verdicts = asyncio.run(replay_until_signal(parse()))
    except asyncio.CancelledError:
        return EXIT_STATUS_SIGNAL
    missed = [verdict for verdict in verdicts if verdict.met is False]
    not_checked = [verdict for verdict in verdicts if verdict.met is None]
    print(
        f"\n{len(verdicts) - len(missed) - len(not_checked)} outcomes met, {len(missed)} missed",
        end="",
    )
    print(f", {len(not_checked)} not checked")
    print("\n".join(map(str, missed)))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
