"""Prints by seed whether real nodes enforce keys, revocations and quotas during faults."""

import argparse
import asyncio
import os
import sys
import tempfile
from pathlib import Path

from bench.workspaces import draw_plan, run_workspace_test


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.workspaces", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--logs", type=Path, help="a folder that keeps the processes' logs")
    options = parser.parse_args()
    broken = 0
    with tempfile.TemporaryDirectory() as temporary:
        for seed in range(options.first, options.first + options.seeds):
            folder = (options.logs or Path(temporary)) / f"{seed}"
            folder.mkdir(parents=True)
            plan = draw_plan(seed)
            result = asyncio.run(run_workspace_test(plan, folder))
            broken += not result.is_within
            events = " ".join(f"{each.at_s:.0f}s:{each.kind}-{each.node}" for each in plan.events)
            print(
                f"{seed:3} load {os.getloadavg()[0]:4.1f}  {result.line()}  | {plan.entry_pattern} "
                f"{plan.quota.per_s:g}x{plan.surge_factor:.1f} {events}",
                flush=True,
            )
    print(f"{broken} broken")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main())
