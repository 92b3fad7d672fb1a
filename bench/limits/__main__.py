"""Prints whether real nodes keep to the rate limits and departures that servers announce."""

import argparse
import asyncio
import os
import sys
import tempfile
from pathlib import Path

from bench.limits import draw_plan, run_limit_test
from bench.limits._limit_plan import SHAPES


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.limits", description=__doc__)
    parser.add_argument("shapes", nargs="*", default=list(SHAPES), help=", ".join(SHAPES))
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds of each shape")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--calm", action="store_true", help="no node is killed or stopped")
    parser.add_argument("--logs", type=Path, help="a folder that keeps the processes' logs")
    options = parser.parse_args()
    failures = 0
    with tempfile.TemporaryDirectory() as temporary:
        for shape in options.shapes:
            for seed in range(options.first, options.first + options.seeds):
                folder = (options.logs or Path(temporary)) / f"{shape}-{seed}"
                folder.mkdir(parents=True)
                plan = draw_plan(seed, shape, with_events=not options.calm)
                result = asyncio.run(run_limit_test(plan, folder))
                failures += not result.is_within
                announced = " ".join(f"{each.at_s:.0f}s:{each.per_s}" for each in plan.changes)
                events = " ".join(f"{each.kind}-{each.node}" for each in plan.events)
                print(
                    f"{shape:4} {seed:3} load {os.getloadavg()[0]:4.1f}  {result.line()}  "
                    f"| {announced} {'flickers ' if plan.flickers else ''}{events}",
                    flush=True,
                )
    print(f"{failures} broken")
    return bool(failures)


if __name__ == "__main__":
    sys.exit(main())
