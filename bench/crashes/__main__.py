"""Prints how many processes a deadly request crashes, and the effect on other requests."""

import argparse
import asyncio
import os
import tempfile
from pathlib import Path

import attrs

from bench.crashes import CrashPlan, run_crash_test

PLANS = {
    "node": CrashPlan(),
    "node-own-callers": CrashPlan(
        nodes=6, deadly_per_s=2.0, restart_after_s=1.0, crash_after_s=0.02
    ),
    "server": CrashPlan(crashes_nodes=False),
    "innocent-nodes": CrashPlan(deadly_per_s=0.0, kill_every_s=1.7),
}


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.crashes", description=__doc__)
    parser.add_argument("plans", nargs="*", default=list(PLANS), help=", ".join(PLANS))
    parser.add_argument("--plays", type=int, default=10)
    parser.add_argument("--logs", type=Path, help="a folder that keeps the processes' logs")
    options = parser.parse_args()
    print("plan               seed  load   ends  late ends  common  others   held back")
    with tempfile.TemporaryDirectory() as temporary:
        for name in options.plans:
            for seed in range(1, options.plays + 1):
                folder = (options.logs or Path(temporary)) / f"{name}-{seed}"
                folder.mkdir(parents=True)
                plan = attrs.evolve(PLANS[name], seed=seed)
                result = asyncio.run(run_crash_test(plan, folder))
                print(
                    f"{name:18} {seed:4}  {os.getloadavg()[0]:4.1f}  {len(result.crashed_at):5}  "
                    f"{result.late_crashes:9}  {result.common:.4f}  {result.others:.4f}  "
                    f"{result.held_back_count:9}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
