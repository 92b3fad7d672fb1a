"""Replays traces under each policy, prints them side by side and checks the stated outcomes."""

import argparse
import asyncio
import itertools
import signal
import sys
import tomllib
from pathlib import Path
from typing import Any

from bench.replay._expectation import load_expectations, promises
from bench.replay._figures import Figures
from bench.replay._plot import plot_tails
from bench.replay._policies import DEFAULT_POLICIES, DIRECT
from bench.replay._progress import Progress
from bench.replay._run import run_trace
from bench.replay._table import table
from bench.replay._trace import TRACES, Trace, load_trace, trace_names
from bench.replay._verdict import Verdict
from marjoramtide.policy import SELECTORS

DEFAULT_SECONDS = 10.0
DEFAULT_JOBS = 2
ENDED_BY_SIGNAL = 130


def setting(text: str) -> dict[str, Any]:
    """Read one ``key = value``; raises ``ValueError``, which argparse reports with the text."""
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
        help=f"{', '.join(DEFAULT_POLICIES)} by default; {DIRECT} leaves the nodes out",
    )
    parser.add_argument(
        "--seconds", type=float, default=DEFAULT_SECONDS, help="length of each run; 0 for its own"
    )
    parser.add_argument(
        "--jobs", type=int, default=DEFAULT_JOBS, help="policies that are played at the same time"
    )
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        type=setting,
        metavar="KEY=VALUE",
        help="a value for the settings' root branch, as in TOML, under every policy",
    )
    parser.add_argument("--logs", type=Path, help="keep the logs of all processes here")
    return parser.parse_args()


def judge(trace: Trace, runs: dict[str, Figures]) -> list[Verdict]:
    """Return the verdicts on the promises and on the trace's own outcomes."""
    held = itertools.chain.from_iterable(promises(policy) for policy in runs if policy != DIRECT)
    paces = [pace(run) for run in runs.values()]
    return paces + [each.check(runs) for each in [*held, *load_expectations(trace.name)]]


def pace(run: Figures) -> Verdict:
    """Return whether the load tool kept pace; where it did not, latencies prove nothing."""
    lag_ms = run.tally().worst_send_lag_ms
    name = f"the load tool kept pace under {run.policy}"
    return Verdict(name, not run.load_tool_late(), f"at worst {lag_ms:.0f} ms late")


def report(trace: Trace, runs: dict[str, Figures]) -> list[Verdict]:
    """Print tables, plot and verdicts of one trace."""
    print(f"\n== {trace.name} ({trace.site_name}, {trace.seconds:g} s, seed {trace.seed})")
    print(f"{trace.description}\n")
    ordered = list(runs.values())
    print(table(ordered))
    plot_tails(ordered)
    verdicts = judge(trace, runs)
    print("\n".join(map(str, verdicts)))
    return verdicts


def policies_for(trace: Trace, options: argparse.Namespace) -> list[str]:
    """Return the policies to play ``trace`` under, each once."""
    return list(dict.fromkeys(options.policy or [*DEFAULT_POLICIES, *trace.policies]))


async def replay_until_told(options: argparse.Namespace) -> list[Verdict]:
    """Replay; a signal to end cancels it, so that no process that it started is left behind."""
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
    turns = asyncio.Semaphore(options.jobs)
    changes = dict(itertools.chain.from_iterable(each.items() for each in options.set))

    async def run(trace: Trace, policy: str) -> Figures:
        async with turns:
            progress.begin(trace.name, policy)
            return await run_trace(trace, policy, changes=changes, logs=options.logs)

    verdicts: list[Verdict] = []
    for trace in traces:
        policies = policies_for(trace, options)
        figures = await asyncio.gather(*(run(trace, policy) for policy in policies))
        verdicts += report(trace, dict(zip(policies, figures, strict=True)))
    return verdicts


def main() -> int:
    try:
        verdicts = asyncio.run(replay_until_told(parse()))
    except asyncio.CancelledError:
        return ENDED_BY_SIGNAL
    missed = [verdict for verdict in verdicts if verdict.met is False]
    unchecked = [verdict for verdict in verdicts if verdict.met is None]
    print(
        f"\n{len(verdicts) - len(missed) - len(unchecked)} outcomes met, {len(missed)} missed",
        end="",
    )
    print(f", {len(unchecked)} not checked")
    print("\n".join(map(str, missed)))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
