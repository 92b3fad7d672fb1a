"""Prints whether keys, their ends and quotas hold over real nodes amid faults, by seed."""

import argparse
import asyncio
import os
import sys
import tempfile
from pathlib import Path

from bench.workspaces import draw_plan, play_workspaces


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
            found = asyncio.run(play_workspaces(plan, folder))
            broken += not found.is_within
            events = " ".join(f"{each.at_s:.0f}s:{each.kind}-{each.node}" for each in plan.events)
            print(
                f"{seed:3} load {os.getloadavg()[0]:4.1f}  {found.line()}  | {plan.how} "
                f"{plan.quota.per_s:g}x{plan.hot:.1f} {events}",
                flush=True,
            )
    print(f"{broken} broken")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main())
